"""Assembly of a gateway's services, and their lifecycle from start to drain."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from pathlib import Path

from celeryrun.exception import SettingsError
from celeryrun.gateway._allocator import return_freed_blocks
from celeryrun.gateway._client import SchedulerClient
from celeryrun.gateway._crash_tracker import CrashTracker
from celeryrun.gateway._discovery import Discovery
from celeryrun.gateway._events import EventHandler, EventLog
from celeryrun.gateway._listeners import CallerListener, PageListener
from celeryrun.gateway._members import Members
from celeryrun.gateway._metrics import GatewayMetrics
from celeryrun.gateway._origin_records import OriginRecords
from celeryrun.gateway._paths import Paths
from celeryrun.gateway._planned_stop import STOPPING, StopSchedule
from celeryrun.gateway._registry_copy import RegistryCopy
from celeryrun.gateway._relay import Relay
from celeryrun.gateway._request_log import RequestLog
from celeryrun.gateway._rollouts import Rollouts
from celeryrun.gateway._server import SchedulerServer
from celeryrun.gateway._stream_origins import StreamOrigins
from celeryrun.gateway._version_records import VersionRecords
from celeryrun.kernel import Kernel, now
from celeryrun.observe import LEVEL_BY_NAME
from celeryrun.platform import Store
from celeryrun.settings import GatewaySettings, load_gateway_settings

__all__ = ["Gateway", "run_gateway"]

BALANCER_DELAY = 2.5  # s; a load balancer that probes once a second misses two replies
DRAIN_POLL_INTERVAL = 0.05  # s between checks for requests in progress
SETTINGS_POLL_INTERVAL = 1.0  # s between checks of the settings file


class Gateway:
    """Gateway process: a kernel with all its services.

    Parameters
    ----------
    kernel : Kernel
        Kernel with every service registered.
    settings : GatewaySettings
        Validated settings.
    path : str
        Settings file, reloaded when it changes.
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
            Event log; writes to standard output by default.
        """
        kernel = Kernel()
        event_log = events or EventLog(settings.node.name)
        metrics = GatewayMetrics()
        store = Store(settings.store.address)
        store.era_watchers.append(lambda era: event_log.emit("store-era", era=era))
        kernel.register("events", event_log)
        kernel.register("metrics", metrics)
        kernel.register("store", store)
        kernel.register("discovery", Discovery(kernel, settings))
        kernel.register("members", Members(kernel, settings))
        kernel.register("registry-copy", RegistryCopy(kernel))
        kernel.register("crash-tracker", CrashTracker(kernel))
        kernel.register("version-records", VersionRecords(kernel))
        kernel.register("origin-records", OriginRecords(kernel))
        kernel.register("stream-origins", StreamOrigins(kernel, settings))
        kernel.register("rollouts", Rollouts(kernel, settings))
        kernel.register("paths", Paths(kernel, settings))
        kernel.register("scheduler", SchedulerServer(kernel, settings))
        kernel.register("scheduler-client", SchedulerClient(kernel, settings))
        kernel.register("request-log", RequestLog(kernel))
        kernel.register("relay", Relay(kernel, settings))
        kernel.register("callers", CallerListener(kernel, settings))
        kernel.register("pages", PageListener(kernel, settings))
        metrics.watch_store(store, kernel.find("scheduler").followers)
        return cls(kernel, settings, path)

    async def run(self) -> None:
        """Serve until a stop signal, then drain and stop all services."""
        events: EventLog = self.kernel.find("events")
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        watch_task = loop.create_task(self._watch_settings())
        handler = EventHandler(events, LEVEL_BY_NAME[self.settings.node.log_level])
        with handler.applicationbound():
            await self.start()
            events.emit("started", zone=self.settings.node.zone)
            await self._stopping.wait()
            watch_task.cancel()
            await self.drain()
            self.kernel.stop()

    async def start(self) -> None:
        """Start all services and open the listeners."""
        self.kernel.start()
        for name in ("scheduler", "pages", "callers"):
            await self.kernel.find(name).listen()

    def is_ready(self) -> bool:
        """Return whether the node can serve requests now."""
        return bool(self.kernel.find("pages").is_ready())

    def reload(self) -> None:
        """Reload the settings file and apply what can change without a restart."""
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
        for name in ("store", "rollouts", "scheduler", "relay", "pages"):
            self.kernel.find(name).apply(changed)
        events.emit("reloaded", file=self._path)

    async def _watch_settings(self) -> None:
        """Reload when the content of the settings file changes, with or without SIGHUP."""
        known = _read_text(self._path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL)
            text = _read_text(self._path)
            if text is not None and text != known:
                known = text
                self.reload()

    async def drain(self) -> None:
        """Serve until the load balancer sends no new requests, then finish those in progress.

        What can't be answered before the process exits is refused.
        """
        events: EventLog = self.kernel.find("events")
        callers: CallerListener = self.kernel.find("callers")
        relay: Relay = self.kernel.find("relay")
        schedule = StopSchedule.from_config(self.settings.bounds.stop_grace, now())
        events.emit("draining", active=callers.active, connections=len(callers.connections))
        carrier = self.kernel.find("paths").carrier
        callers.draining = carrier.is_stopping = True
        relay.begin_stop(schedule)
        self.kernel.find("scheduler-client").leave()
        await asyncio.sleep(min(BALANCER_DELAY, self.settings.bounds.stop_grace / 2))
        await callers.close()
        while (time := now()) < schedule.exit_at:
            if time >= schedule.answer_by:
                relay.end_unanswered()
                callers.refuse_unread(STOPPING)
            callers.close_idle()
            if not callers.connections and not carrier.active:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        events.emit("stopped", active=callers.active, connections=len(callers.connections))


def _read_text(path: str) -> str | None:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        # The file may be in the middle of a write; the next check reads it.
        return None


def run_gateway(path: str) -> None:
    """Run one gateway until it is drained.

    Parameters
    ----------
    path : str
        Settings file.
    """
    settings = load_gateway_settings(path)
    return_freed_blocks()

    async def run() -> None:
        await Gateway.from_config(settings, path).run()

    asyncio.run(run())
