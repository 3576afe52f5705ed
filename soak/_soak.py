"""One soak: a small site of real gateways under drawn faults, judged at its end."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from celeryrun.kernel import now
from soak._callers import Caller
from soak._faults import Fault, draw
from soak._judge import Disturbance, Leaving, Sent, Violation, judge, judge_leavings
from soak._nodes import Node
from soak._proxy import Proxy
from standins.runner import RunnerStandIn
from standins.site import build_config, build_tenant
from standins.store import StoreStandIn

__all__ = ["Report", "Soak"]

EVENTS = 6  # of a stream
CALM_AT_END = 8.0  # s: the longest stop and a restart
SERVED_AT_END = 0.9  # of the requests of the last seconds, when every fault is over
LAST = 2.0  # s
DRAIN = 3.0  # s for which a leaving runner is listed as such, its lag and some more
READY_IN = 20.0  # s for the first start on a busy machine
KEYS = ("key-cajas", "key-herd", "key-spare-1", "key-spare-2")
RUNNER_FAULTS = ("lost", "rejected", "error", "cut", "foreign", "unsealed", "unpromised")


@dataclass
class Report:
    """What a soak has seen."""

    seed: int
    requests: int
    statuses: dict[int, int]
    faults: dict[str, int]
    violations: list[Violation] = field(default_factory=list)


class Soak:
    """Real gateways as processes; store, runners and callers of this process.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    """

    def __init__(self, seed: int, seconds: float, folder: Path, nodes: int = 3) -> None:
        self.seed = seed
        self.seconds = seconds
        self.store = StoreStandIn()
        self.runners = [
            *(RunnerStandIn(self.store, f"app-{n}", "app") for n in range(3)),
            *(RunnerStandIn(self.store, f"model-{n}", "model", EVENTS, slots=4) for n in range(3)),
        ]
        self._count = nodes
        self._folder = folder
        self._nodes: list[Node] = []
        self._store_proxies: dict[str, Proxy] = {}
        self._runner_proxies: dict[str, Proxy] = {}
        self._sent: list[Sent] = []
        self._unplanned: list[Disturbance] = []
        self._leavings: list[Leaving] = []
        self._revoked_at: dict[str, float] = {}
        self._version = 1
        self._away: set[str] = set()
        self._fault_tasks: list[asyncio.Task[None]] = []

    async def run(self, callers: int = 12) -> Report:
        """Play and judge."""
        faults = draw(self.seed, self.seconds)
        try:
            await self._start()
            port_by_node = {node.name: node.ports[0] for node in self._nodes}
            tasks = [
                asyncio.create_task(Caller(number, self.seed, port_by_node, KEYS, self._sent).run())
                for number in range(callers)
            ]
            begun = now()
            for fault in faults:
                await asyncio.sleep(max(0.0, begun + fault.at - now()))
                self._fault_tasks.append(asyncio.create_task(self._play(fault)))
            await asyncio.gather(*self._fault_tasks)
            await asyncio.sleep(CALM_AT_END)
            ended = now()
            for task in tasks:
                task.cancel()
            for ended_by in await asyncio.gather(*tasks, return_exceptions=True):
                if not isinstance(ended_by, asyncio.CancelledError):
                    # A caller that failed has judged nothing since.
                    raise ended_by
        finally:
            await self._stop()
        return self._report(faults, ended)

    async def _start(self) -> None:
        await self.store.start()
        self._configure()
        for runner in self.runners:
            proxy = self._runner_proxies[runner.id] = Proxy(0)
            await proxy.start()
            runner.registered_port = proxy.port
            await runner.start()
            proxy.target = runner.port
        for number in range(self._count):
            name = f"node-{number}"
            proxy = self._store_proxies[name] = Proxy(self.store.port)
            await proxy.start()
            node = Node(name, self._folder, proxy.port)
            await node.start()
            self._nodes.append(node)
        async with asyncio.timeout(READY_IN):
            while not all([await _is_open(node.ports[0]) for node in self._nodes]):
                await asyncio.sleep(0.05)

    async def _stop(self) -> None:
        for node in self._nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGTERM)
        await asyncio.gather(*(node.end() for node in self._nodes))
        for proxy in (*self._store_proxies.values(), *self._runner_proxies.values()):
            proxy.stop()
        for runner in self.runners:
            runner.crash()
        self.store.stop()

    def _configure(self) -> None:
        cajas = [key for key in KEYS[::2] if key not in self._revoked_at]
        herd = [key for key in KEYS[1::2] if key not in self._revoked_at]
        tenants = [build_tenant("cajas", *cajas), build_tenant("herd", *herd)]
        self.store.put("keyed.op", "config", build_config(self._version, tenants=tenants))

    async def _play(self, fault: Fault) -> None:
        node = self._nodes[fault.pick % len(self._nodes)]
        runner = self.runners[fault.pick % len(self.runners)]
        link = self._store_proxies[node.name]
        begun = now()
        hit = node.name
        match fault.kind:
            case "term":
                # Planned: what it holds must not be lost, so this is no disturbance.
                await node.restart(signal.SIGTERM)
                return
            case "hup":
                node.change_settings(fault.pick)
                node.send(signal.SIGHUP)
                return
            case "silent-settings":
                node.change_settings(fault.pick)
                return
            case "new-configuration":
                self._version += 1 + fault.pick % 3
                self._configure()
                return
            case "revoke":
                spare = [key for key in KEYS[2:] if key not in self._revoked_at]
                if spare:
                    self._version += 1
                    self._revoked_at[spare[0]] = now()
                    self._configure()
                return
            case "runner-drain":
                if runner.id not in self._away:
                    await self._drain(runner, fault.seconds)
                return
            case "kill":
                await node.restart(signal.SIGKILL)
            case "kill-all":
                hit = ""
                await asyncio.gather(*(each.restart(signal.SIGKILL) for each in self._nodes))
            case "pause":
                node.send(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                node.send(signal.SIGCONT)
            case "store-slow":
                link.delay = 0.3
                await asyncio.sleep(fault.seconds)
                link.delay = 0.0
            case "store-one-way":
                link.mute.add("down" if fault.pick % 2 else "up")
                await asyncio.sleep(fault.seconds)
                link.mute.clear()
            case "store-forgets":
                for topic in list(self.store.topics):
                    self.store.drop_history(topic)
            case "store-loses":
                self.store.lost_responses += 3
            case "store-down" | "store-silent" | "store-busy":
                hit = ""
                name = fault.kind.removeprefix("store-")
                self.store.faults.add(name)
                await asyncio.sleep(fault.seconds)
                self.store.faults.discard(name)
            case _:
                hit = ""
                await self._harm_runner(fault, runner)
        self._unplanned.append(Disturbance(fault.kind, begun, now(), hit))

    async def _harm_runner(self, fault: Fault, runner: RunnerStandIn) -> None:
        proxy = self._runner_proxies[runner.id]
        match fault.kind:
            case "runner-crash" if runner.id not in self._away:
                self._away.add(runner.id)
                runner.crash()
                await asyncio.sleep(fault.seconds)
                await runner.start()
                self._away.discard(runner.id)
            case "runner-slow":
                proxy.delay = 0.1
                await asyncio.sleep(fault.seconds)
                proxy.delay = 0.0
            case "runner-silent":
                proxy.mute.update(("up", "down") if fault.pick % 2 else ("down",))
                await asyncio.sleep(fault.seconds)
                proxy.mute.clear()
            case "runner-reset":
                proxy.reset()
            case "runner-faults":
                runner.faults[RUNNER_FAULTS[fault.pick % len(RUNNER_FAULTS)]] += 3

    async def _drain(self, runner: RunnerStandIn, seconds: float) -> None:
        """Let a runner leave as planned: draining for its lag, gone, and later back."""
        self._away.add(runner.id)
        runner.register("draining")
        begun = now()
        await asyncio.sleep(DRAIN)
        runner.register(None)
        await asyncio.sleep(seconds)
        self._leavings.append(Leaving(runner.id, begun, now()))
        runner.register("ready")
        self._away.discard(runner.id)

    def _report(self, faults: list[Fault], ended: float) -> Report:
        runs_by_target = {runner.id: runner.requests for runner in self.runners}
        workspace_by_key = {key: ("cajas", "herd")[n % 2] for n, key in enumerate(KEYS)}
        sent = [each for each in self._sent if each.ended]
        violations = judge(
            sent,
            runs_by_target,
            self._unplanned,
            workspace_by_key,
            self._revoked_at,
            EVENTS,
        )
        violations += judge_leavings(self._leavings, runs_by_target, self._unplanned)
        last = [
            each for each in sent if each.at > ended - LAST and each.key not in self._revoked_at
        ]
        served = sum(each.status == 200 and each.complete for each in last)
        if not last or served < SERVED_AT_END * len(last):
            text = f"{served} of {len(last)} served after all faults"
            violations.append(Violation("recover", "", text))
        violations += [
            Violation("grace", "", f"{node.name} did not end in time")
            for node in self._nodes
            if node.overdue
        ]
        return Report(
            self.seed,
            len(sent),
            dict(Counter(each.status for each in sent)),
            dict(Counter(fault.kind for fault in faults)),
            violations,
        )


async def _is_open(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True
