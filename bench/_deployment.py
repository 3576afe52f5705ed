"""The two deployments at their real size, scaled down in speed, and what they are asked for."""

from __future__ import annotations

from dataclasses import dataclass, replace

from standins.fleet import FleetConfig

__all__ = ["DEPLOYMENTS", "Caller", "Deployment", "Load", "build_load"]

STEP = 0.012  # s of an engine's step when idle, twice that at the knee
PREFILL = 128  # tokens of prompt that an engine reads in a step
WORKERS = 4  # of an application
CALL_SECONDS = 0.1  # of an application's call
NODES = 6
CHECK_TOKENS = 2
LONG_TOKENS = 200
FLOOD_TOKENS = 40  # of a request of the highest tier's flood
PREFIX_TOKENS = 480
PREFIXES = 24
CACHE_BLOCKS = 24  # of 64 tokens


@dataclass(frozen=True, slots=True)
class Caller:
    """One kind of request of one workspace.

    Parameters
    ----------
    share : float
        Part of its pool's capacity that it asks for at full load.
    prompt, tokens : int
        Length of prompt and answer in tokens; 0 for an application.
    deadline : float
        Seconds.
    writes : float
        Part of the calls that may not be repeated.
    prefixes : int
        Shared prefixes that prompts begin with, 0 for none.
    """

    workspace: str
    tier: int
    pool: str
    share: float
    deadline: float
    prompt: int = 0
    tokens: int = 0
    writes: float = 0.0
    prefixes: int = 0

    @property
    def work(self) -> float:
        """Steps of one stream at an engine, or seconds of a worker at an application."""
        if self.pool == "warehouse":
            return CALL_SECONDS
        prefix = PREFIX_TOKENS if self.prefixes else 0
        return self.tokens + max(1.0, (self.prompt + prefix) / PREFILL)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Targets, zones, latencies and callers.

    Parameters
    ----------
    speeds : tuple of float
        Relative speed of each engine.
    batches : tuple of int
        Streams at each engine's knee.
    zone_latency, client_latency : float
        Seconds one way.
    """

    name: str
    speeds: tuple[float, ...]
    batches: tuple[int, ...]
    applications: int
    zones: int
    zone_latency: float
    client_latency: float
    callers: tuple[Caller, ...]
    outstanding: dict[str, int]
    low: str
    high: str
    small: str

    @property
    def capacity_by_pool(self) -> dict[str, float]:
        """Work that each pool does in a second."""
        engines = zip(self.speeds, self.batches, strict=True)
        return {
            "drafts": sum(speed * batch / (2 * STEP) for speed, batch in engines),
            "warehouse": float(self.applications * WORKERS),
        }

    def fleet_plan(self) -> FleetConfig:
        """Describe the processes."""
        arguments = [
            f"--step {STEP / speed:.6f} --batch {batch} --prefill {PREFILL} "
            f"--cache-blocks {CACHE_BLOCKS}"
            for speed, batch in zip(self.speeds, self.batches, strict=True)
        ]
        return FleetConfig(
            nodes=NODES,
            engines=len(self.speeds),
            applications=self.applications,
            zones=self.zones,
            tier_by_workspace={caller.workspace: caller.tier for caller in self.callers},
            application_seconds=CALL_SECONDS,
            application_arguments=f"--workers {WORKERS}",
            engine_arguments=arguments,
            max_outstanding_by_workspace=self.outstanding,
            threads=300,
            list_lag=1.0,
            extra_settings={"limits": {"max_waiting": "100"}},
        )


@dataclass(frozen=True, slots=True)
class Load:
    """Callers with their rates, and what goes wrong.

    Parameters
    ----------
    rate_by_caller : tuple of (Caller, float)
        Requests a second.
    outside : tuple of str
        Workspaces outside the flood, all if there is none.
    reference : str
        Load with the same callers outside and no flood, empty if there is none.
    fault : str
        ``slow``, ``die`` or empty.
    """

    name: str
    rate_by_caller: tuple[tuple[Caller, float], ...]
    outside: tuple[str, ...]
    reference: str = ""
    fault: str = ""


CAJAS = Deployment(
    "cajas",
    (1.0, 1.0, 0.8, 0.5, 0.5),
    (12, 10, 8, 6, 4),
    3,
    3,
    0.001,
    0.001,
    (
        Caller("drivers", 1, "warehouse", 0.8, 2.0, writes=0.1),
        Caller("routes", 1, "drafts", 0.15, 3.0, 60, 8),
        Caller("tags", 2, "drafts", 0.15, 3.0, 100, 4),
        Caller("contracts-north", 3, "drafts", 0.6, 8.0, 120, 40),
        Caller("contracts-south", 3, "drafts", 0.1, 8.0, 120, 40),
        Caller("tags", 2, "warehouse", 0.2, 3.0),
    ),
    {"drivers": 60, "routes": 20, "tags": 40, "contracts-north": 150, "contracts-south": 60},
    "contracts-north",
    "routes",
    "contracts-south",
)

CORDILLERA = Deployment(
    "cordillera",
    (1.0, 1.0, 1.0, 0.6, 0.6, 0.4),
    (12, 12, 8, 8, 6, 4),
    4,
    4,
    0.0015,
    0.003,
    (
        Caller("permits", 1, "drafts", 0.1, 2.0, 50, CHECK_TOKENS),
        Caller("clerks", 2, "drafts", 0.15, 3.0, 80, 8),
        Caller("clerks", 2, "warehouse", 0.4, 3.0),
        Caller("transfers", 1, "warehouse", 0.6, 3.0, writes=0.2),
        Caller("tallymen-north", 3, "drafts", 0.65, 10.0, 120, 60),
        Caller("tallymen-south", 3, "drafts", 0.1, 10.0, 120, 60),
    ),
    {"permits": 26, "clerks": 40, "transfers": 60, "tallymen-north": 150, "tallymen-south": 60},
    "tallymen-north",
    "permits",
    "tallymen-south",
)

DEPLOYMENTS = {item.name: item for item in (CAJAS, CORDILLERA)}


def build_load(deployment: Deployment, name: str) -> Load:
    """Build a load by its name.

    Examples
    --------
    >>> build_load(CAJAS, "flood-low").outside
    ('drivers', 'routes', 'tags', 'contracts-south')
    """
    low, high = deployment.low, deployment.high
    match name:
        case "steady-60":
            return _load(deployment, name, 0.6)
        case "steady-95":
            return _load(deployment, name, 0.95)
        case "flood-low":
            return _load(deployment, name, 0.6, low, 5.0, "steady-60")
        case "flood-high":
            return _load(_with_long_flood(deployment), name, 0.6, high, 5.0, "steady-60")
        case "alone":
            return _load(deployment, name, 0.5, low, 0.0)
        case "large-20x":
            rest = sum(
                0.5 * caller.share
                for caller in deployment.callers
                if caller.pool == "drafts" and caller.workspace != low
            )
            return _load(deployment, name, 0.5, low, 20 * rest, "alone")
        case "checks-beside-long":
            return _long(deployment, name)
        case "slow-engine":
            return _load(deployment, name, 0.6, fault="slow")
        case "deaths":
            return _load(deployment, name, 0.6, low, 5.0, "steady-60", "die")
        case "prefixes":
            return _prefixes(deployment, name)
    raise ValueError(f"no load {name!r}")


def _with_long_flood(deployment: Deployment) -> Deployment:
    """Let the flood be of longer requests, else opening connections alone fills the machine."""
    callers = tuple(
        (
            replace(caller, tokens=FLOOD_TOKENS, deadline=5.0)
            if caller.workspace == deployment.high
            else caller
        )
        for caller in deployment.callers
    )
    return replace(deployment, callers=callers)


def _load(
    deployment: Deployment,
    name: str,
    level: float,
    flooding: str = "",
    flood: float = 0.0,
    reference: str = "",
    fault: str = "",
) -> Load:
    rates = []
    for caller in deployment.callers:
        capacity = deployment.capacity_by_pool[caller.pool]
        floods = caller.workspace == flooding and caller.pool == "drafts"
        part = flood if floods else level * caller.share
        if part:
            rates.append((caller, part * capacity / caller.work))
    workspaces = dict.fromkeys(caller.workspace for caller in deployment.callers)
    outside = tuple(workspace for workspace in workspaces if workspace != flooding)
    return Load(name, tuple(rates), outside, reference, fault)


def _long(deployment: Deployment, name: str) -> Load:
    small = deployment.high
    callers = tuple(
        (
            replace(caller, tokens=CHECK_TOKENS, deadline=2.0)
            if caller.workspace == small
            else (
                replace(caller, tokens=LONG_TOKENS, deadline=15.0)
                if caller.workspace == deployment.low
                else caller
            )
        )
        for caller in deployment.callers
    )
    return _load(replace(deployment, callers=callers), name, 0.85)


def _prefixes(deployment: Deployment, name: str) -> Load:
    callers = tuple(
        (
            replace(caller, prefixes=PREFIXES, tokens=8, deadline=3.0)
            if caller.pool == "drafts" and caller.tier == 3
            else caller
        )
        for caller in deployment.callers
    )
    return _load(replace(deployment, callers=callers), name, 0.7)
