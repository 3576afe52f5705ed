"""Data classes of the operator's configuration and of running targets."""

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
    "TargetRun",
    "Workspace",
    "expect_patience",
]

# Callers abandon a stream after the longest of these three times without an event.
MIN_PATIENCE = 2.0  # s
PATIENCE_PER_OBJECTIVE = 4.0  # times the objective of the first byte
PATIENCE_PER_PAUSE = 8.0  # times the route's maximum pause between events


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Retry and streaming properties of a route's requests.

    Parameters
    ----------
    repeatable : bool
        Whether a request may run more than once.
    stream : bool
        Whether the response is a stream of server-sent events, called events below.
    resumable : bool
        Whether a broken stream may continue on another target.
    """

    repeatable: bool = False
    stream: bool = False
    resumable: bool = False


@dataclass(frozen=True, slots=True)
class Split:
    """Pool of a route's traffic split; its weight is relative to those of the other pools."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the requests to one host below one path prefix.

    Parameters
    ----------
    host : str
        Host name in lower case, without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    kind : RequestKind
        Retry and streaming properties of the requests.
    timeout : float
        Deadline of a request, in seconds from its arrival.
    objective : float
        Latency objective in seconds, to the response or to the first event of a stream; the
        scheduler orders and places requests to meet it, but a request that misses it may still run.
    max_attempts : int
        Maximum number of targets that one request is sent to.
    tier : int
        Order of urgency in the scheduler's queue; 0 is the most urgent.
    public : bool
        Whether requests need no API key.
    max_pause : float
        Objective for the pause between two events of a stream, in seconds; 0 means no objective.
    patience : float
        Seconds without the first or the next event after which callers are expected to abandon a
        request; the scheduler denies requests whose predicted first byte would come later.
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


def expect_patience(objective: float, max_pause: float) -> float:
    """Return the seconds without an event after which callers abandon a stream.

    Examples
    --------
    >>> expect_patience(0.1, 0.1), expect_patience(0.8, 0.25), expect_patience(0.1, 0.5)
    (2.0, 3.2, 4.0)
    """
    return max(MIN_PATIENCE, PATIENCE_PER_OBJECTIVE * objective, PATIENCE_PER_PAUSE * max_pause)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer with its tier and quota.

    Parameters
    ----------
    tier : int or None
        Tier that overrides the tier of the route; None keeps the tier of the route.
    quota_rate, burst : float
        Token bucket of the quota over all nodes: units per second and its size in units, which
        are tokens or requests (see ``counts_tokens``); a rate of 0 means no quota.
    plain_tokens : int
        Tokens charged for a request without a token usage header.
    counts_tokens : bool
        Whether the unit of the quota is a token; otherwise it is a request.
    """

    name: str
    tier: int | None = None
    quota_rate: float = 0.0
    burst: float = 0.0
    plain_tokens: int = 1
    counts_tokens: bool = True


@dataclass(frozen=True, slots=True)
class Pool:
    """Group of targets that run one service.

    Parameters
    ----------
    engine : bool
        Whether the targets are inference engines, which read a prompt and then stream events; the
        scheduler predicts their latency from the numbers of tokens and events.
    tokens_per_event : int
        Output tokens per event of a stream.
    """

    name: str
    engine: bool = False
    tokens_per_event: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of a caller's request, in bytes, and of its connection, in seconds.

    Parameters
    ----------
    header_timeout : float
        Time from the first byte of a request to the end of its headers.
    idle_timeout : float
        Time that a connection waits for a request, and for the body after the headers.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operator's configuration, with its routes indexed by host.

    Parameters
    ----------
    version : int
        Number of the version; a higher one replaces a lower one.
    workspaces_by_key : dict
        Workspace of each API key.
    has_workspaces : bool
        Whether the configuration has a list of workspaces, even an empty one; without a list, no
        request needs an API key.
    """

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
        """Return the route with the longest prefix that matches a path, or None.

        Parameters
        ----------
        host : str
            Host name in lower case, without a port.
        path : str
            Path without a query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class TargetRun:
    """Identity of one run of a target, which it keeps from its start to its end.

    Parameters
    ----------
    born : int
        Start time in Unix milliseconds, 0 if unknown.
    """

    id: str
    host: str
    port: int
    born: int


@dataclass(slots=True)
class Target:
    """One running target, as described by its own entry in the platform's metadata store.

    Parameters
    ----------
    id : str
        Identifier of one run of the target; it usually changes with a restart.
    zone : str
        Availability zone.
    slots : int
        Number of concurrent requests that the target reports.
    born : int
        Start time in Unix milliseconds, 0 if unknown; distinguishes two runs with the same id.
    ready : bool
        Whether the target accepts new requests.
    version : str
        Version of its software; a stream goes on only at targets of the one that began it.
    sequence : float
        Number of heartbeats that this run had written before the entry; orders its entries.
    """

    id: str
    pool: str
    host: str
    port: int
    zone: str
    slots: int
    ready: bool
    born: int = 0
    version: str = ""
    sequence: float = field(default=0.0, compare=False)

    @property
    def run(self) -> TargetRun:
        """Identity of this run."""
        return TargetRun(self.id, self.host, self.port, self.born)
