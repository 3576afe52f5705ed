"""What sound targets do in a soak: silence, releases, leaving, and refusals for a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from celeryrun.kernel import now
from soak._checker import DrainPeriod, FaultPeriod, VersionPeriod
from soak._faults import SOUND_TARGET_KINDS, Fault
from soak._proxy import Proxy
from standins.runner import RunnerStandIn

__all__ = ["DRAINING_TIME", "TargetFleet"]

DRAINING_TIME = 3.0  # s for which a runner is registered as draining, longer than the drain lag
RESTART_DELAY = 0.3  # s between the exit of a runner and its next run
EXIT_TIMEOUT = 8.0  # s for the requests in progress of a runner that leaves
RELEASE_INTERVAL = 0.7  # s between two runners of a release
STREAM_WORK = 0.02  # s of work for each event of a stream, so that some break in the middle
POLL_INTERVAL = 0.05  # s


class TargetFleet:
    """Runners of a soak, with those that releases add.

    Parameters
    ----------
    runners : list of RunnerStandIn
        Runners from the start; the fleet adds no runner to this list.
    publish_configuration : callable
        Publishes a new version of the configuration.

    Attributes
    ----------
    added_runners : list of RunnerStandIn
        Runners added since.
    unavailable : set of str
        Runners that are down, draining or gone.
    version_periods, drain_periods, outages : list
        What the checker needs to know.
    """

    def __init__(
        self, runners: list[RunnerStandIn], publish_configuration: Callable[[], None]
    ) -> None:
        self.runners = runners
        self.added_runners: list[RunnerStandIn] = []
        self.unavailable: set[str] = set()
        self.proxy_by_id: dict[str, Proxy] = {}
        self.version_periods: list[VersionPeriod] = []
        self.drain_periods: list[DrainPeriod] = []
        self.outages: list[FaultPeriod] = []
        self._publish_configuration = publish_configuration
        self._ready_since: dict[str, float] = {}
        self._release_count = 0
        self._releasing = False

    @property
    def all_runners(self) -> list[RunnerStandIn]:
        """Runners from the start and added ones, whether or not they serve."""
        return [*self.runners, *self.added_runners]

    @property
    def models(self) -> list[RunnerStandIn]:
        """Runners of the pool of models."""
        return [runner for runner in self.all_runners if runner.events]

    async def start(self, kinds: frozenset[str]) -> None:
        """Start the runners, of models in two versions side by side if releases are played."""
        if not kinds.isdisjoint(SOUND_TARGET_KINDS):
            for runner in self.models:
                runner.work = STREAM_WORK
        for runner in self.runners:
            await self._start_runner(runner)
        if "versions" in kinds:
            for number in range(2):
                await self._add_model(f"model-next-{number}", "v2")

    def stop(self) -> None:
        """Stop all runners and their proxies."""
        for proxy in self.proxy_by_id.values():
            proxy.stop()
        for runner in self.all_runners:
            runner.crash()

    def close_version_periods(self) -> None:
        """Record the versions of the runners that still serve."""
        for runner in self.models:
            self._end_version_period(runner)

    async def inject_fault(self, fault: Fault) -> None:
        """Play a fault of the kinds of sound targets to its end."""
        match fault.kind:
            case "silence":
                await self._fall_silent(fault)
            case "versions" if not self._releasing:
                self._releasing = True
                await self._release(fault)
                self._releasing = False
            case "leaving":
                await self._leave_unregistered(fault)
            case "retry-after":
                await self._refuse(fault)

    async def drain(self, runner: RunnerStandIn, seconds: float) -> None:
        """Register a runner as draining, remove it after `DRAINING_TIME`, and register it again."""
        self.unavailable.add(runner.id)
        runner.register("draining")
        started_at = now()
        await asyncio.sleep(DRAINING_TIME)
        runner.register(None)
        await asyncio.sleep(seconds)
        self.drain_periods.append(DrainPeriod(runner.id, started_at, now()))
        self._record_outage("drain", runner, started_at)
        runner.register("ready")
        self.unavailable.discard(runner.id)

    async def _start_runner(self, runner: RunnerStandIn) -> None:
        proxy = self.proxy_by_id[runner.id] = Proxy(0)
        await proxy.start()
        runner.registered_port = proxy.port
        await runner.start()
        proxy.target_port = runner.port
        self._ready_since[runner.id] = now()

    async def _add_model(self, id: str, version: str) -> None:
        model = self.models[0]
        runner = RunnerStandIn(
            model.store, id, model.service, model.events, model.work, model.slots, version
        )
        # Parts of prompts that crash engines crash those added meanwhile too.
        runner.crashing_parts = model.crashing_parts
        self.added_runners.append(runner)
        await self._start_runner(runner)

    async def _fall_silent(self, fault: Fault) -> None:
        """Silence a runner, its whole pool, or the last one of it, mostly beside a change."""
        serving = [runner for runner in self.all_runners if runner.id not in self.unavailable]
        if not serving:
            return
        runner = serving[fault.selector % len(serving)]
        pool = [each for each in serving if each.service == runner.service]
        silent = pool if fault.selector // 6 % 3 == 1 else [runner]
        drains: list[asyncio.Task[None]] = []
        if fault.selector // 6 % 3 == 2:
            others = [each for each in pool if each is not runner]
            self.unavailable.update(each.id for each in others)
            drains = [asyncio.create_task(self.drain(each, fault.duration)) for each in others]
            await asyncio.sleep(DRAINING_TIME)
        started_at = now()
        for each in silent:
            each.fall_silent(fault.duration)
        if fault.selector % 4:
            await asyncio.sleep(fault.duration * (fault.selector // 4 % 5) / 5)
            self._publish_configuration()
        await asyncio.sleep(max(0.0, started_at + fault.duration - now()))
        for each in silent:
            self._record_outage(fault.kind, each, started_at)
        await asyncio.gather(*drains)

    async def _release(self, fault: Fault) -> None:
        """Replace the models of the oldest version, some of them under the same id."""
        serving = [runner for runner in self.models if runner.state is not None]
        oldest = min((runner.version for runner in serving), key=lambda name: int(name[1:]))
        self._release_count += 1
        version = f"v{2 + self._release_count}"
        replacements = []
        for number, runner in enumerate(each for each in serving if each.version == oldest):
            keeps_id = fault.selector >> number & 1
            replacements.append(
                asyncio.create_task(
                    self._return_under_same_id(runner, version, fault.duration)
                    if keeps_id
                    else self._replace(runner, version)
                )
            )
            await asyncio.sleep(RELEASE_INTERVAL)
        await asyncio.gather(*replacements)

    async def _replace(self, runner: RunnerStandIn, version: str) -> None:
        number = len(self.added_runners)
        await self._add_model(f"model-{version}-{number}", version)
        await self._leave(runner)

    async def _return_under_same_id(
        self, runner: RunnerStandIn, version: str, seconds: float
    ) -> None:
        started_at = await self._leave(runner)
        await asyncio.sleep(seconds)
        await self._start_again(runner, version, started_at)

    async def _leave_unregistered(self, fault: Fault) -> None:
        """Say in responses for a while that a runner leaves, before it drains and leaves."""
        available = [each for each in self.all_runners if each.id not in self.unavailable]
        if not available:
            return
        runner = available[fault.selector % len(available)]
        self.unavailable.add(runner.id)
        started_at = now()
        runner.leaving = True
        await asyncio.sleep(fault.duration)
        await self._leave(runner, is_reserved=True)
        self._record_outage(fault.kind, runner, started_at)
        await self._start_again(runner, runner.version, now())

    async def _refuse(self, fault: Fault) -> None:
        """Turn requests away for a while with a Retry-After."""
        runner = self.all_runners[fault.selector % len(self.all_runners)]
        started_at = now()
        retry_after = runner.retry_after = 1.0 + fault.selector // 12 % 4
        await asyncio.sleep(fault.duration)
        runner.retry_after = None
        end = now() + retry_after
        self.outages.append(FaultPeriod(fault.kind, started_at, end, runner.id))

    async def _leave(self, runner: RunnerStandIn, is_reserved: bool = False) -> float:
        """Let a runner drain, finish its requests and exit; return when it began to drain."""
        while not is_reserved and runner.id in self.unavailable:
            await asyncio.sleep(POLL_INTERVAL)
        self.unavailable.add(runner.id)
        self._end_version_period(runner)
        runner.register("draining")
        started_at = now()
        await asyncio.sleep(DRAINING_TIME)
        runner.register(None)
        while runner.running and now() < started_at + DRAINING_TIME + EXIT_TIMEOUT:
            await asyncio.sleep(POLL_INTERVAL)
        runner.crash()
        await asyncio.sleep(RESTART_DELAY)
        self.drain_periods.append(DrainPeriod(runner.id, started_at, now()))
        return started_at

    async def _start_again(self, runner: RunnerStandIn, version: str, left_at: float) -> None:
        self._record_outage("leave", runner, left_at)
        await runner.start_again(version)
        self._ready_since[runner.id] = now()
        self.unavailable.discard(runner.id)

    def _end_version_period(self, runner: RunnerStandIn) -> None:
        start = self._ready_since.pop(runner.id, None)
        if start is not None:
            self.version_periods.append(VersionPeriod(runner.id, runner.version, start, now()))

    def _record_outage(self, kind: str, runner: RunnerStandIn, started_at: float) -> None:
        self.outages.append(FaultPeriod(kind, started_at, now(), runner.id))
