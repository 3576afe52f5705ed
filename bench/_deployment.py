"""The two deployments at real size and reduced speed, and the loads that are offered to them."""

from __future__ import annotations

from dataclasses import dataclass, replace

from standins.fleet import FleetConfig

__all__ = ["DEPLOYMENTS", "Caller", "Deployment", "Load", "build_load"]

STEP_TIME = 0.012  # s of an idle engine's step; a step at the knee takes twice as long
PREFILL_TOKENS = 128  # prompt tokens that an engine prefills in a step
APPLICATION_WORKERS = 4
CALL_DURATION = 0.1  # s, service time of an application
NODES = 6
CHECK_TOKENS = 2
LONG_TOKENS = 200
FLOOD_TOKENS = 40  # per request when the highest tier floods
PREFIX_TOKENS = 480
PREFIX_COUNT = 24
CACHE_BLOCKS = 24  # blocks of 64 tokens in an engine's prefix cache


@dataclass(frozen=True, slots=True)
class Caller:
    """Requests of one kind from one workspace.

    Parameters
    ----------
    share : float
        Fraction of the pool's capacity that these requests need at full load.
    prompt, tokens : int
        Lengths of prompt and answer in tokens; 0 for an application.
    deadline : float
        Seconds.
    writes : float
        Fraction of calls that are not idempotent.
    prefixes : int
        Number of shared prompt prefixes, 0 for none.
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
        """Steps of one stream of an engine, or seconds of one worker of an application."""
        if self.pool == "warehouse":
            return CALL_DURATION
        prefix = PREFIX_TOKENS if self.prefixes else 0
        return self.tokens + max(1.0, (self.prompt + prefix) / PREFILL_TOKENS)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Targets, zones, latencies and callers of a deployment.

    Parameters
    ----------
    speeds : tuple of float
        Relative speed of each engine.
    batches : tuple of int
        Number of streams at each engine's knee.
    zone_latency, client_latency : float
        Seconds one way.
    outstanding : dict
        Limit of outstanding requests by workspace.
    low_workspace, high_workspace : str
        Workspaces that flood in a low and in a high tier.
    small_workspace : str
        Workspace with little load in the tier of `low_workspace`.
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
    low_workspace: str
    high_workspace: str
    small_workspace: str

    @property
    def capacity_by_pool(self) -> dict[str, float]:
        """Work that each pool can do per second."""
        engines = zip(self.speeds, self.batches, strict=True)
        return {
            "drafts": sum(speed * batch / (2 * STEP_TIME) for speed, batch in engines),
            "warehouse": float(self.applications * APPLICATION_WORKERS),
        }

    def fleet_config(self) -> FleetConfig:
        """Return the configuration of the deployment's fleet."""
        arguments = [
            f"--step {STEP_TIME / speed:.6f} --batch {batch} --prefill {PREFILL_TOKENS} "
            f"--cache-blocks {CACHE_BLOCKS}"
            for speed, batch in zip(self.speeds, self.batches, strict=True)
        ]
        return FleetConfig(
            nodes=NODES,
            engines=len(self.speeds),
            applications=self.applications,
            zones=self.zones,
            tier_by_workspace={caller.workspace: caller.tier for caller in self.callers},
            application_seconds=CALL_DURATION,
            application_arguments=f"--workers {APPLICATION_WORKERS}",
            engine_arguments=arguments,
            max_outstanding_by_workspace=self.outstanding,
            threads=300,
            list_lag=1.0,
            extra_settings={"limits": {"max_waiting": "100"}},
        )


@dataclass(frozen=True, slots=True)
class Load:
    """Request rates of the callers, and the fault during the run.

    Parameters
    ----------
    rate_by_caller : tuple of (Caller, float)
        Requests per second.
    outside : tuple of str
        Workspaces that do not flood.
    reference : str
        Name of the load without the flood and otherwise equal, empty if there is none.
    fault : str
        ``slow`` (one engine slows down), ``die`` (one engine and a keeper are killed) or empty.
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

DEPLOYMENTS = {deployment.name: deployment for deployment in (CAJAS, CORDILLERA)}


def build_load(deployment: Deployment, name: str) -> Load:
    """Build the load with the given name.

    Examples
    --------
    >>> build_load(CAJAS, "flood-low").outside
    ('drivers', 'routes', 'tags', 'contracts-south')
    """
    low_workspace, high_workspace = deployment.low_workspace, deployment.high_workspace
    match name:
        case "steady-60":
            return _build(deployment, name, 0.6)
        case "steady-95":
            return _build(deployment, name, 0.95)
        case "flood-low":
            return _build(deployment, name, 0.6, low_workspace, 5.0, "steady-60")
        case "flood-high":
            return _build(_with_long_flood(deployment), name, 0.6, high_workspace, 5.0, "steady-60")
        case "alone":
            return _build(deployment, name, 0.5, low_workspace, 0.0)
        case "large-20x":
            other_load = sum(
                0.5 * caller.share
                for caller in deployment.callers
                if caller.pool == "drafts" and caller.workspace != low_workspace
            )
            return _build(deployment, name, 0.5, low_workspace, 20 * other_load, "alone")
        case "checks-beside-long":
            return _checks_beside_long(deployment, name)
        case "slow-engine":
            return _build(deployment, name, 0.6, fault="slow")
        case "deaths":
            return _build(deployment, name, 0.6, low_workspace, 5.0, "steady-60", "die")
        case "prefixes":
            return _shared_prefixes(deployment, name)
    raise ValueError(f"no load is named {name!r}")


def _with_long_flood(deployment: Deployment) -> Deployment:
    """Return the deployment with longer requests of the flooding workspace.

    With short requests, opening the connections alone saturates the machine.
    """
    callers = tuple(
        (
            replace(caller, tokens=FLOOD_TOKENS, deadline=5.0)
            if caller.workspace == deployment.high_workspace
            else caller
        )
        for caller in deployment.callers
    )
    return replace(deployment, callers=callers)


def _build(
    deployment: Deployment,
    name: str,
    load_level: float,
    flooding_workspace: str = "",
    flood_level: float = 0.0,
    reference: str = "",
    fault: str = "",
) -> Load:
    rates = []
    for caller in deployment.callers:
        capacity = deployment.capacity_by_pool[caller.pool]
        is_flooding = caller.workspace == flooding_workspace and caller.pool == "drafts"
        load_fraction = flood_level if is_flooding else load_level * caller.share
        if load_fraction:
            rates.append((caller, load_fraction * capacity / caller.work))
    workspaces = dict.fromkeys(caller.workspace for caller in deployment.callers)
    outside = tuple(workspace for workspace in workspaces if workspace != flooding_workspace)
    return Load(name, tuple(rates), outside, reference, fault)


def _checks_beside_long(deployment: Deployment, name: str) -> Load:
    small_workspace = deployment.high_workspace
    callers = tuple(
        (
            replace(caller, tokens=CHECK_TOKENS, deadline=2.0)
            if caller.workspace == small_workspace
            else (
                replace(caller, tokens=LONG_TOKENS, deadline=15.0)
                if caller.workspace == deployment.low_workspace
                else caller
            )
        )
        for caller in deployment.callers
    )
    return _build(replace(deployment, callers=callers), name, 0.85)


def _shared_prefixes(deployment: Deployment, name: str) -> Load:
    callers = tuple(
        (
            replace(caller, prefixes=PREFIX_COUNT, tokens=8, deadline=3.0)
            if caller.pool == "drafts" and caller.tier == 3
            else caller
        )
        for caller in deployment.callers
    )
    return _build(replace(deployment, callers=callers), name, 0.7)
