"""Assembly of the node's services, and its life from start to drained."""

from __future__ import annotations

import sys
import threading
import time

import logbook

from celeryrun.answers import AnswerService
from celeryrun.claims import ClaimRegistry
from celeryrun.configuration import ConfigurationService
from celeryrun.front import CallerListener, OperatorListener
from celeryrun.front._disconnect import DisconnectWatcher
from celeryrun.kernel import Kernel, check
from celeryrun.membership import Members
from celeryrun.observe import Metrics
from celeryrun.pool import Keepers, PoolClient, Targets
from celeryrun.settings import Settings
from celeryrun.streams import VmList
from celeryrun.suspicion import SuspectTracker
from celeryrun.wire import Peers

__all__ = ["Node"]

SWITCH_INTERVAL = 0.0005  # s

log = logbook.Logger("node")


class Node:
    """One node: a kernel with all its services.

    Parameters
    ----------
    kernel : Kernel
        With every service registered.
    settings : Settings
        Checked settings.
    """

    __slots__ = ("_draining", "_settings", "kernel")

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self.kernel = kernel
        self._settings = settings
        self._draining = threading.Event()

    @classmethod
    def from_config(cls, settings: Settings) -> Node:
        """Assemble a node from settings."""
        kernel = Kernel()
        node = cls(kernel, settings)
        operators = OperatorListener.from_config(kernel, settings)
        operators.on_drain = node.drain
        kernel.register("metrics", Metrics())
        kernel.register("peers", Peers.from_config(settings))
        kernel.register("vms", VmList.from_config(settings.platform))
        kernel.register("members", Members.from_config(kernel, settings))
        kernel.register("targets", Targets(kernel))
        kernel.register("configuration", ConfigurationService.from_config(kernel, settings))
        kernel.register("keepers", Keepers.from_config(kernel, settings))
        kernel.register("pools", PoolClient(kernel))
        kernel.register("suspicion", SuspectTracker(kernel))
        kernel.register("claims", ClaimRegistry.from_config(kernel, settings))
        kernel.register("answers", AnswerService.from_config(kernel, settings))
        kernel.register("disconnect_watcher", DisconnectWatcher())
        kernel.register("operator_listener", operators)
        kernel.register("caller_listener", CallerListener.from_config(kernel, settings))
        return node

    def run(self) -> None:
        """Start, serve until drained, and stop."""
        # Requests take many short steps in many threads; a long turn of one delays all others.
        sys.setswitchinterval(SWITCH_INTERVAL)
        self.kernel.start()
        log.info("node {} serves", self._settings.node.name)
        self._draining.wait()
        self._finish()
        self.kernel.stop()
        log.info("node {} has finished all it held", self._settings.node.name)

    def drain(self) -> None:
        """Begin to leave: no request that is held or still arrives is cut."""
        self.kernel.find("caller_listener").drain()
        self._draining.set()

    def _finish(self) -> None:
        """Hand duties over, serve what the balancer still sends, and finish what is held.

        Peers are kept until the last answer is out: what waits here still needs slots, and what
        comes late for a keeper is passed on.
        """
        front = self.kernel.find("caller_listener")
        front.drain()
        self.kernel.find("members").drain()
        time.sleep(self._settings.node.drain_lag)
        front.finish()
        check(front.active == 0, "drained-means-idle", active=front.active)
