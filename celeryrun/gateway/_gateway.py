"""Assembly of a gateway's services, and its life from start to drained."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from pathlib import Path

from celeryrun.exception import SettingsError
from celeryrun.gateway._client import SchedulerClient
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventHandler, EventLog
from celeryrun.gateway._listeners import CallerListener, PageListener
from celeryrun.gateway._members import Members
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._relay import Relay
from celeryrun.gateway._request_log import RequestLog
from celeryrun.gateway._server import SchedulerServer
from celeryrun.kernel import Kernel, now
from celeryrun.observe import LEVEL_BY_NAME
from celeryrun.platform import Store
from celeryrun.settings import GatewaySettings, load_gateway_settings

__all__ = ["Gateway", "run_gateway"]

BALANCER_LAG = 2.5  # s until a balancer that asks once a second has missed two answers
STOP_MARGIN = 0.4  # s before the end of the grace at which the process ends by itself
POLL = 0.05  # s between two looks at what is still answered
SETTINGS_PERIOD = 1.0  # s between two looks at the settings file


class Gateway:
    """One gateway: a kernel with all its services.

    Parameters
    ----------
    kernel : Kernel
        With every service registered.
    settings : GatewaySettings
        Checked settings.
    path : str
        Their file, read again when it changes.
    """

    __slots__ = ("_path", "_stopping", "kernel", "settings")

    def __init__(self, kernel: Kernel, settings: GatewaySettings, path: str) -> None:
        self.kernel = kernel
        self.settings = settings
        self._path = path
        self._stopping = asyncio.Event()

    @classmethod
    def from_config(
        cls, settings: GatewaySettings, path: str, events: EventLog | None = None
    ) -> Gateway:
        """Assemble a gateway from settings.

        Parameters
        ----------
        events : EventLog, optional
            Where to log, standard output if not given.
        """
        kernel = Kernel()
        kernel.register("events", events or EventLog(settings.node.name))
        kernel.register("metrics", GatewayMetrics())
        kernel.register("store", Store(settings.store.address))
        kernel.register("discovery", Discovery(kernel, settings))
        kernel.register("members", Members(kernel, settings))
        kernel.register("scheduler", SchedulerServer(kernel, settings))
        kernel.register("scheduler-client", SchedulerClient(kernel, settings))
        kernel.register("request-log", RequestLog(kernel))
        kernel.register("relay", Relay(kernel, settings))
        kernel.register("callers", CallerListener(kernel, settings))
        kernel.register("pages", PageListener(kernel, settings))
        return cls(kernel, settings, path)

    async def run(self) -> None:
        """Serve until the stop signal, finish what is held, and end."""
        events: EventLog = self.kernel.find("events")
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        watch = loop.create_task(self._watch_settings())
        handler = EventHandler(events, LEVEL_BY_NAME[self.settings.node.log_level])
        with handler.applicationbound():
            await self.start()
            events.emit("started", zone=self.settings.node.zone)
            await self._stopping.wait()
            watch.cancel()
            await self.drain()
            self.kernel.stop()

    async def start(self) -> None:
        """Start all services and listen."""
        self.kernel.start()
        await self.kernel.find("pages").listen()
        await self.kernel.find("callers").listen()

    def is_ready(self) -> bool:
        """Tell whether it can serve what callers send now."""
        return bool(self.kernel.find("pages").is_ready())

    def reload(self) -> None:
        """Read the settings again and use what can change while the process runs."""
        events: EventLog = self.kernel.find("events")
        try:
            changed = load_gateway_settings(self._path)
        except SettingsError as error:
            events.emit("reload-failed", file=self._path, why=str(error))
            return
        if changed.node != self.settings.node:
            events.emit("reload-partial", file=self._path, why="[node] needs a restart")
            changed = dataclasses.replace(changed, node=self.settings.node)
        self.settings = changed
        for name in ("store", "scheduler", "relay", "pages"):
            self.kernel.find(name).apply(changed)
        events.emit("reloaded", file=self._path)

    async def _watch_settings(self) -> None:
        """Reload when the settings file changes, whether a signal tells so or not."""
        known = _read_text(self._path)
        while True:
            await asyncio.sleep(SETTINGS_PERIOD)
            text = _read_text(self._path)
            if text is not None and text != known:
                known = text
                self.reload()

    async def drain(self) -> None:
        """Serve what still comes until the balancer has noticed, then what is in progress."""
        events: EventLog = self.kernel.find("events")
        callers: CallerListener = self.kernel.find("callers")
        until = now() + self.settings.bounds.stop_grace - STOP_MARGIN
        events.emit("draining", active=callers.active, connections=len(callers.connections))
        callers.draining = True
        self.kernel.find("scheduler-client").leave()
        await asyncio.sleep(min(BALANCER_LAG, self.settings.bounds.stop_grace / 2))
        callers.close()
        while now() < until:
            callers.close_idle()
            if not callers.connections:
                break
            await asyncio.sleep(POLL)
        events.emit("stopped", active=callers.active, connections=len(callers.connections))


def _read_text(path: str) -> str | None:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        # The file may be written just now; the next look finds it.
        return None


def run_gateway(path: str) -> None:
    """Run one gateway until it is drained.

    Parameters
    ----------
    path : str
        Its settings file.
    """
    settings = load_gateway_settings(path)

    async def run() -> None:
        await Gateway.from_config(settings, path).run()

    asyncio.run(run())
