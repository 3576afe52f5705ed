"""What a gateway knows of its deployment: routes, pools, workspaces and targets."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = [
    "CallerLimits",
    "Catalog",
    "Pool",
    "RequestKind",
    "Route",
    "Split",
    "Target",
    "Workspace",
]


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What a route's requests allow.

    Parameters
    ----------
    repeatable : bool
        Whether a request may run more than once.
    stream : bool
        Whether the answer is a series of events.
    resumable : bool
        Whether a broken stream may go on at another target.
    """

    repeatable: bool = False
    stream: bool = False
    resumable: bool = False


@dataclass(frozen=True, slots=True)
class Split:
    """A share of a route's requests that goes to one pool."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path.

    Parameters
    ----------
    prefix : str
        Begins and ends with a slash.
    kind : RequestKind
        What may be repeated.
    timeout : float
        Seconds within which a request gets its final answer.
    objective : float
        Seconds to the answer, or to a stream's first event, for full credit.
    max_attempts : int
        Targets that one request may be sent to.
    patience : float
        Seconds to the first event, or between two, after which callers give up.
    tier : int
        Rank, 0 is the most urgent.
    public : bool
        Whether requests carry no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    max_attempts: int
    tier: int
    public: bool
    splits: tuple[Split, ...]
    max_pause: float = 0.0
    patience: float = math.inf


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer and what it may use.

    Parameters
    ----------
    tier : int or None
        Goes before the tier of the route, if set.
    quota_rate, burst : float
        Quota over all nodes; 0 is no limit.
    plain_tokens : int
        What a request that names no tokens counts as.
    counts_tokens : bool
        Whether the quota counts tokens rather than requests.
    """

    name: str
    tier: int | None = None
    quota_rate: float = 0.0
    burst: float = 0.0
    plain_tokens: int = 1
    counts_tokens: bool = True


@dataclass(frozen=True, slots=True)
class Pool:
    """Targets of one service.

    Parameters
    ----------
    slots : int
        Requests that an engine runs at once; 0 where each target says so itself.
    tokens_per_event : int
        Output tokens in one event of a stream.
    """

    name: str
    max_connections: int = 0
    slots: int = 0
    engine: bool = False
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send; bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One whole version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    pools_by_name: dict[str, Pool]
    workspaces_by_key: dict[str, Workspace]
    limits: CallerLimits
    has_workspaces: bool = False
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Index the routes of each host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for host, routes in by_host.items():
            routes.sort(key=lambda route: -len(route.prefix))
            self.routes_by_host[host] = tuple(routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(slots=True)
class Target:
    """One running target as its own entry in the store describes it.

    Parameters
    ----------
    id : str
        Of this run; a restart mostly has another.
    born : int
        Unix milliseconds of its start; tells two runs under one id apart.
    ready : bool
        Whether it takes new work.
    """

    id: str
    pool: str
    host: str
    port: int
    zone: str
    slots: int
    ready: bool
    born: int = 0
