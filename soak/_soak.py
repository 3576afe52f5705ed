"""One soak: gateway processes under random faults, checked at the end."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

from celeryrun.kernel import now
from soak._callers import BAD_PART, Caller, PatientCaller
from soak._checker import (
    STABILITY_WINDOW,
    FaultPeriod,
    SentRequest,
    Violation,
    check_crashing_part,
    check_drains,
    check_failures,
    check_leaving,
    check_limits,
    check_requests,
    check_resumed,
    check_retry_after,
    check_versions,
    check_whole_responses,
)
from soak._faults import KINDS, SOUND_TARGET_KINDS, Fault, draw_faults, draw_sound_target_faults
from soak._nodes import Node
from soak._proxy import Proxy
from soak._targets import TargetFleet
from standins.runner import RecordedRequest, RunnerStandIn
from standins.site import build_config, build_tenant
from standins.store import StoreStandIn

__all__ = ["Report", "Soak"]

EVENTS_PER_STREAM = 6
RECOVERY_TIME = 8.0  # s after the last fault, for the longest stop of a process and its restart
MIN_SERVED_RATIO = 0.9  # of the requests in the final period, when every fault is over
FINAL_PERIOD = 2.0  # s
MAX_RESTORE_OUTAGE = 1.0  # s
MAX_REWRITE_DELAY = 1.5  # s after which the operator and the runners have written again
READY_TIMEOUT = 20.0  # s, for the first start on a busy machine
KEYS = ("key-cajas", "key-herd", "key-spare-1", "key-spare-2")
PATIENT_CALLERS = 6
PATIENT_TIMEOUT = 6000  # ms, of routes whose requests outlive every silence
STOP_KINDS = ("kill", "kill-all", "pause")  # faults after which a node may have forgotten all
CUT_KINDS = ("runner-slow", "runner-silent", "runner-reset")
RUNNER_FAULTS = ("lost", "rejected", "error", "cut", "foreign", "unsealed", "unpromised")


@dataclass
class Report:
    """Result of a soak."""

    seed: int
    requests: int
    statuses: dict[int, int]
    faults: dict[str, int]
    violations: list[Violation] = field(default_factory=list)


class Soak:
    """Gateway processes with a store, runners and callers in this process.

    Parameters
    ----------
    seconds : float
        Duration of the faults.
    folder : Path
        Folder of settings and logs.
    nodes : int
        Number of gateways.
    kinds : collection of str
        Kinds of faults to play, without influence on those drawn of each.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        nodes: int = 3,
        kinds: Collection[str] = KINDS,
    ) -> None:
        self.seed = seed
        self.seconds = seconds
        self.store = StoreStandIn()
        self.runners = [
            *(RunnerStandIn(self.store, f"app-{n}", "app") for n in range(3)),
            *(
                RunnerStandIn(self.store, f"model-{n}", "model", EVENTS_PER_STREAM, slots=4)
                for n in range(3)
            ),
        ]
        self._node_count = nodes
        self._folder = folder
        self._nodes: list[Node] = []
        self._store_proxies: dict[str, Proxy] = {}
        self._kinds = frozenset(kinds)
        self._fleet = TargetFleet(self.runners, self._publish_next_configuration)
        self._sent_requests: list[SentRequest] = []
        self._unplanned_faults: list[FaultPeriod] = []
        self._planned_restarts: list[FaultPeriod] = []
        self._revoked_at: dict[str, float] = {}
        self._configuration_version = 1
        self._mended_at = float("inf")
        self._limit_periods: list[tuple[FaultPeriod, float]] = []
        self._fault_tasks: list[asyncio.Task[None]] = []

    async def run(self, callers: int = 12) -> Report:
        """Run callers and faults, check the guarantees, and return the report."""
        faults = [fault for fault in self._draw_faults() if fault.kind in self._kinds]
        try:
            await self._start()
            port_by_node = {node.name: node.ports[0] for node in self._nodes}
            tasks = [
                asyncio.create_task(
                    Caller(number, self.seed, port_by_node, KEYS, self._sent_requests).run()
                )
                for number in range(callers)
            ]
            if self._plays_sound_targets:
                tasks += [
                    asyncio.create_task(
                        PatientCaller(
                            number, self.seed, port_by_node, KEYS[:2], self._sent_requests
                        ).run()
                    )
                    for number in range(callers, callers + PATIENT_CALLERS)
                ]
            started_at = now()
            for fault in faults:
                await asyncio.sleep(max(0.0, started_at + fault.start - now()))
                self._fault_tasks.append(asyncio.create_task(self._inject_fault(fault)))
            await asyncio.gather(*self._fault_tasks)
            await asyncio.sleep(RECOVERY_TIME)
            ended_at = now()
            self._fleet.close_version_periods()
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if not isinstance(result, asyncio.CancelledError):
                    # A caller that failed has sent no requests since.
                    raise result
        finally:
            await self._stop()
        return self._build_report(faults, ended_at)

    @property
    def _plays_sound_targets(self) -> bool:
        return not self._kinds.isdisjoint(SOUND_TARGET_KINDS)

    def _draw_faults(self) -> list[Fault]:
        faults = [
            *draw_faults(self.seed, self.seconds),
            *draw_sound_target_faults(self.seed, self.seconds),
        ]
        return sorted(faults, key=lambda fault: fault.start)

    async def _start(self) -> None:
        await self.store.start()
        self._publish_configuration()
        await self._fleet.start(self._kinds)
        for number in range(self._node_count):
            name = f"node-{number}"
            proxy = self._store_proxies[name] = Proxy(self.store.port)
            await proxy.start()
            node = Node(name, self._folder, proxy.port)
            await node.start()
            self._nodes.append(node)
        async with asyncio.timeout(READY_TIMEOUT):
            while not all([await _is_listening(node.ports[0]) for node in self._nodes]):
                await asyncio.sleep(0.05)

    async def _stop(self) -> None:
        for node in self._nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGTERM)
        await asyncio.gather(*(node.wait_exit() for node in self._nodes))
        for proxy in self._store_proxies.values():
            proxy.stop()
        self._fleet.stop()
        self.store.stop()

    def _publish_configuration(self) -> None:
        cajas = [key for key in KEYS[::2] if key not in self._revoked_at]
        herd = [key for key in KEYS[1::2] if key not in self._revoked_at]
        tenants = [build_tenant("cajas", *cajas), build_tenant("herd", *herd)]
        config = build_config(self._configuration_version, tenants=tenants)
        if self._plays_sound_targets:
            config["routes"] += [
                route
                | {
                    "name": f"{route['name']}-patient",
                    "pathPrefix": f"{route['pathPrefix']}patient/",
                    "timeoutMs": PATIENT_TIMEOUT,
                }
                for route in config["routes"]
            ]
        self.store.put("keyed.op", "config", config)

    def _publish_next_configuration(self, increment: int = 1) -> None:
        self._configuration_version += increment
        self._publish_configuration()

    async def _inject_fault(self, fault: Fault) -> None:
        node = self._nodes[fault.selector % len(self._nodes)]
        runner = self.runners[fault.selector % len(self.runners)]
        store_proxy = self._store_proxies[node.name]
        started_at = now()
        affected_node = node.name
        match fault.kind:
            case "term":
                # A planned restart must not lose requests, so it is not recorded as a fault.
                await node.restart(signal.SIGTERM)
                self._planned_restarts.append(FaultPeriod(fault.kind, started_at, now(), node.name))
                return
            case "hup":
                node.change_settings(fault.selector)
                node.send_signal(signal.SIGHUP)
                return
            case "silent-settings":
                node.change_settings(fault.selector)
                return
            case "new-configuration":
                self._publish_next_configuration(1 + fault.selector % 3)
                return
            case "revoke":
                spare = [key for key in KEYS[2:] if key not in self._revoked_at]
                if spare:
                    self._revoked_at[spare[0]] = now()
                    self._publish_next_configuration()
                return
            case "runner-drain":
                if runner.id not in self._fleet.unavailable:
                    await self._fleet.drain(runner, fault.duration)
                return
            case kind if kind in SOUND_TARGET_KINDS:
                await self._fleet.inject_fault(fault)
                return
            case "runner-limit":
                await self._limit_runner(fault)
                return
            case "runner-unframed":
                for each in self._fleet.all_runners:
                    each.faults["unframed"] += 3
                return
            case "kill":
                await node.restart(signal.SIGKILL)
            case "kill-all":
                affected_node = ""
                await asyncio.gather(*(each.restart(signal.SIGKILL) for each in self._nodes))
            case "pause":
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration)
                node.send_signal(signal.SIGCONT)
            case "store-slow":
                store_proxy.delay = 0.3
                await asyncio.sleep(fault.duration)
                store_proxy.delay = 0.0
            case "store-one-way":
                store_proxy.blocked_directions.add("down" if fault.selector % 2 else "up")
                await asyncio.sleep(fault.duration)
                store_proxy.blocked_directions.clear()
            case "store-forgets":
                for topic in list(self.store.topics):
                    self.store.drop_history(topic)
            case "store-loses":
                self.store.lost_responses += 3
            case "store-restored":
                affected_node = ""
                await self._restore_store(fault)
            case "store-down" | "store-silent" | "store-busy":
                affected_node = ""
                name = fault.kind.removeprefix("store-")
                self.store.faults.add(name)
                await asyncio.sleep(fault.duration)
                self.store.faults.discard(name)
            case _:
                affected_node = ""
                await self._inject_runner_fault(fault, runner)
        self._unplanned_faults.append(FaultPeriod(fault.kind, started_at, now(), affected_node))

    async def _restore_store(self, fault: Fault) -> None:
        """Go back to a copy as old as the fault is long; what others wrote is written again."""
        copy = self.store.take_copy()
        await asyncio.sleep(fault.duration)
        self.store.faults.add("down")
        await asyncio.sleep(MAX_RESTORE_OUTAGE * (fault.selector % 10) / 10)
        self.store.restore(copy)
        self.store.faults.discard("down")
        await asyncio.sleep(MAX_REWRITE_DELAY * (fault.selector // 10 % 10) / 10)
        self._publish_configuration()
        for runner in self._fleet.all_runners:
            runner.register(runner.state)

    async def _inject_runner_fault(self, fault: Fault, runner: RunnerStandIn) -> None:
        proxy = self._fleet.proxy_by_id[runner.id]
        match fault.kind:
            case "runner-crash" if runner.id not in self._fleet.unavailable:
                self._fleet.unavailable.add(runner.id)
                runner.crash()
                await asyncio.sleep(fault.duration)
                await runner.start()
                self._fleet.unavailable.discard(runner.id)
            case "runner-slow":
                proxy.delay = 0.1
                await asyncio.sleep(fault.duration)
                proxy.delay = 0.0
            case "runner-silent":
                proxy.blocked_directions.update(("up", "down") if fault.selector % 2 else ("down",))
                await asyncio.sleep(fault.duration)
                proxy.blocked_directions.clear()
            case "runner-reset":
                proxy.reset()
            case "crashing-part":
                for each in self._fleet.models:
                    each.crashing_parts.add(BAD_PART)
                await asyncio.sleep(fault.duration)
                for each in self._fleet.models:
                    each.crashing_parts.clear()
                self._mended_at = now()
            case "runner-faults":
                runner.faults[RUNNER_FAULTS[fault.selector % len(RUNNER_FAULTS)]] += 3

    async def _limit_runner(self, fault: Fault) -> None:
        """Let a runner of the engines name a limit for a while."""
        models = [each for each in self.runners if each.events]
        runner = models[fault.selector % len(models)]
        started_at = now()
        runner.rate_limit = 1.0 + fault.selector % 4
        await asyncio.sleep(fault.duration + STABILITY_WINDOW)
        period = FaultPeriod(fault.kind, started_at, now(), runner.id)
        self._limit_periods.append((period, runner.rate_limit))
        runner.rate_limit = None

    def _build_report(self, faults: list[Fault], ended_at: float) -> Report:
        recorded_by_target = {runner.id: runner.requests for runner in self._fleet.all_runners}
        workspace_by_key = {key: ("cajas", "herd")[n % 2] for n, key in enumerate(KEYS)}
        sent_requests = [request for request in self._sent_requests if request.ended_at]
        violations = check_requests(
            sent_requests,
            recorded_by_target,
            self._unplanned_faults,
            workspace_by_key,
            self._revoked_at,
            EVENTS_PER_STREAM,
        )
        violations += check_drains(
            self._fleet.drain_periods, recorded_by_target, self._unplanned_faults
        )
        crashes = [time for runner in self._fleet.all_runners for time in runner.crashes]
        violations += check_crashing_part(
            BAD_PART, crashes, self._mended_at, recorded_by_target, self._unplanned_faults
        )
        violations += check_limits(self._limit_periods, recorded_by_target, self._unplanned_faults)
        violations += self._check_sound_targets(sent_requests, recorded_by_target)
        final_requests = [
            request
            for request in sent_requests
            if request.sent_at > ended_at - FINAL_PERIOD
            and request.key not in self._revoked_at
            and BAD_PART not in request.parts
            and not request.broken_by_caller
        ]
        served = sum(request.status == 200 and request.complete for request in final_requests)
        if not final_requests or served < MIN_SERVED_RATIO * len(final_requests):
            text = f"{served} of {len(final_requests)} served after all faults"
            violations.append(Violation("recover", "", text))
        violations += [
            Violation("grace", "", f"{node.name} did not exit in time")
            for node in self._nodes
            if node.exit_timed_out
        ]
        return Report(
            self.seed,
            len(sent_requests),
            dict(Counter(request.status for request in sent_requests)),
            dict(Counter(fault.kind for fault in faults)),
            violations,
        )

    def _check_sound_targets(
        self,
        sent_requests: list[SentRequest],
        recorded_by_target: dict[str, list[RecordedRequest]],
    ) -> list[Violation]:
        stops = [fault for fault in self._unplanned_faults if fault.kind in STOP_KINDS]
        stops += self._planned_restarts
        cuts = [fault for fault in self._unplanned_faults if fault.kind in CUT_KINDS]
        valid_requests = [
            request
            for request in sent_requests
            if request.key not in self._revoked_at and BAD_PART not in request.parts
        ]
        outages = [*self._fleet.outages, *(period for period, _ in self._limit_periods)]
        return [
            *check_whole_responses(sent_requests, recorded_by_target, self._unplanned_faults),
            *check_failures(sent_requests, recorded_by_target, self._unplanned_faults),
            *check_versions(sent_requests),
            *check_resumed(
                valid_requests,
                self._fleet.version_periods,
                [*self._unplanned_faults, *self._planned_restarts],
                outages,
            ),
            *check_leaving(sent_requests, recorded_by_target, stops),
            *check_retry_after(sent_requests, recorded_by_target, [*stops, *cuts]),
        ]


async def _is_listening(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True
