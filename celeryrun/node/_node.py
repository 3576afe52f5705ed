"""Node process: assembly of its services, start, drain and stop."""

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
from celeryrun.kernel import Kernel, check_invariant
from celeryrun.membership import Members
from celeryrun.observe import Metrics
from celeryrun.pool import Keepers, PoolClient, Targets
from celeryrun.settings import Settings
from celeryrun.streams import VmList
from celeryrun.suspicion import SuspectTracker
from celeryrun.wire import Peers

__all__ = ["Node"]

SWITCH_INTERVAL = 0.0005  # s, of the interpreter's threads

log = logbook.Logger("node")


class Node:
    """Node with all its services.

    Parameters
    ----------
    kernel : Kernel
        Kernel with every service registered.
    settings : Settings
        Validated settings.
    """

    __slots__ = ("_draining", "_settings", "kernel")

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self.kernel = kernel
        self._settings = settings
        self._draining = threading.Event()

    @classmethod
    def from_config(cls, settings: Settings) -> Node:
        """Create a node and register its services."""
        kernel = Kernel()
        node = cls(kernel, settings)
        operator_listener = OperatorListener.from_config(kernel, settings)
        operator_listener.on_drain = node.drain
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
        kernel.register("operator_listener", operator_listener)
        kernel.register("caller_listener", CallerListener.from_config(kernel, settings))
        return node

    def run(self) -> None:
        """Start the services, serve requests until drained, and stop."""
        # A request runs in short steps on many threads; a long turn of one thread delays the rest.
        sys.setswitchinterval(SWITCH_INTERVAL)
        try:
            self.kernel.start()
        except BaseException:
            # A service's threads would keep the process alive.
            self.kernel.stop()
            raise
        log.info("node {} is serving", self._settings.node.name)
        self._draining.wait()
        self._finish()
        self.kernel.stop()
        log.info("node {} has finished all its requests", self._settings.node.name)

    def drain(self) -> None:
        """Start draining; requests in progress and requests that still arrive are completed."""
        self.kernel.find("caller_listener").drain()
        self._draining.set()

    def _finish(self) -> None:
        """Hand over owned keys, serve requests until the drain lag passes, and finish them.

        The load balancer may send requests during the drain lag. Peer connections stay open until
        the last response is sent: queued requests still need slots, and late messages for a keeper
        are forwarded.
        """
        caller_listener = self.kernel.find("caller_listener")
        caller_listener.drain()
        self.kernel.find("members").drain()
        time.sleep(self._settings.node.drain_lag)
        caller_listener.finish()
        check_invariant(
            caller_listener.active == 0, "drained-means-idle", active=caller_listener.active
        )
