"""Checks of routes, pools, workspaces and limits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from celeryrun.catalog import CallerLimits, CatalogDraft, Route, Workspace, WorkspaceEntry
from celeryrun.checks._findings import Finding, Severity
from celeryrun.checks._words import describe_key, describe_seconds

__all__ = ["check_draft"]

MIN_HEADER_BYTES = 512  # bytes of a request line, a host, a key and an id


def check_draft(draft: CatalogDraft) -> list[Finding]:
    """Return the findings on a configuration, errors first.

    Examples
    --------
    >>> from celeryrun.catalog import CallerLimits, Catalog
    >>> check_draft(CatalogDraft(Catalog(1, (), {}, {}, CallerLimits())))
    []
    """
    findings = [
        *_check_names(draft),
        *_check_matching(draft.catalog.routes),
        *(finding for route in draft.catalog.routes for finding in _check_route(route, draft)),
        *_check_pools(draft),
        *_check_keys(draft),
        *(
            finding
            for entry in draft.workspaces
            for finding in _check_quota(entry.workspace, draft.catalog.routes)
        ),
        *_check_limits(draft.catalog.limits),
    ]
    return sorted(findings, key=lambda finding: finding.severity is Severity.WARNING)


def _error(place: str, text: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, place, text, remedy)


def _warning(place: str, text: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, place, text, remedy)


def _check_names(draft: CatalogDraft) -> Iterator[Finding]:
    """Find names that several entries of a kind have."""
    names_by_kind: dict[str, list[str]] = {
        "route": [route.name for route in draft.catalog.routes],
        "pool": [pool.name for pool in draft.pools],
        "workspace": [entry.workspace.name for entry in draft.workspaces],
    }
    for kind, names in names_by_kind.items():
        for name, count in Counter(names).items():
            if count > 1:
                place = f"{kind} {name}"
                yield _error(place, f"{count} entries have this name", "give each its own")


def _check_matching(routes: Iterable[Route]) -> Iterator[Finding]:
    """Find routes that no request can match."""
    first_by_match: dict[tuple[str, str], Route] = {}
    for route in routes:
        place = f"route {route.name}"
        first = first_by_match.setdefault((route.host, route.prefix), route)
        if first is not route:
            text = f"never matches, since route {first.name} has the same host and prefix"
            yield _error(place, text, "remove one of them or change its prefix")
        if not route.host or ":" in route.host or not _is_visible(route.host):
            text = f"never matches, since {route.host!r} is not a host name without a port"
            yield _error(place, text, "name the host alone")
        if not route.prefix.startswith("/"):
            text = f"never matches, since {route.prefix!r} does not begin with a slash"
            yield _error(place, text, "begin the prefix with a slash")
        elif not route.prefix.endswith("/"):
            text = f"its prefix {route.prefix!r} also matches in the middle of a segment"
            yield _warning(place, text, "end the prefix with a slash")
        if not _is_visible(route.prefix) or set(route.prefix) & set("?#"):
            text = f"never matches, since no path holds all characters of {route.prefix!r}"
            yield _error(place, text, "remove spaces, ? and # from the prefix, or encode them")


def _is_visible(text: str) -> bool:
    return all("!" <= character <= "~" for character in text)


def _check_route(route: Route, draft: CatalogDraft) -> Iterator[Finding]:
    place = f"route {route.name}"
    for split in route.splits:
        if split.pool not in draft.catalog.pools_by_name:
            text = f"its pool {split.pool!r} is not configured, so its requests find no target"
            yield _error(place, text, "add the pool or name another")
        if not split.weight and len(route.splits) > 1:
            text = f"pool {split.pool!r} gets none of its requests, since its weight is 0"
            yield _warning(place, text, "remove the pool from the split or give it a weight")
    timeout, objective = describe_seconds(route.timeout), describe_seconds(route.objective)
    if route.timeout <= 0:
        yield _error(place, "its timeout is 0, so no request is answered", "set a timeout")
    elif route.objective > route.timeout:
        text = f"its latency objective of {objective} is longer than its timeout of {timeout}"
        yield _error(place, text, "lower the objective or raise the timeout")
    if route.max_pause > route.timeout > 0:
        text = f"its longest pause between events exceeds its timeout of {timeout}"
        yield _error(place, text, "lower the pause or raise the timeout")
    if route.max_pause and not route.kind.stream:
        text = "it names a longest pause between events, but its responses are no streams"
        yield _warning(place, text, "remove the pause or make the route a streaming one")
    if route.max_attempts > 1 and not route.kind.repeatable:
        text = (
            f"its requests may run once only, so that {route.max_attempts} attempts"
            " are made only where targets turn them away"
        )
        yield _warning(place, text, "set one attempt, or declare that they may be repeated")


def _check_pools(draft: CatalogDraft) -> Iterator[Finding]:
    used = {split.pool for route in draft.catalog.routes for split in route.splits}
    for name in _unique(pool.name for pool in draft.pools):
        if name not in used:
            yield _warning(f"pool {name}", "no route uses it", "add a route or remove the pool")


def _unique(names: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(names))


def _check_keys(draft: CatalogDraft) -> Iterator[Finding]:
    """Find keys that no caller can use, and workspaces and routes without any."""
    if not draft.catalog.has_workspaces:
        return
    closed = [route.name for route in draft.catalog.routes if not route.public]
    owner_by_key: dict[str, str] = {}
    for entry in draft.workspaces:
        place = f"workspace {entry.workspace.name}"
        yield from _check_own_keys(place, entry, owner_by_key)
        if not entry.keys:
            yield _warning(place, "it has no key, so nobody can call as it", "add a key")
    if closed and not owner_by_key:
        text = "no workspace has a key, so every request for it is refused with 401"
        yield _error(f"route {closed[0]}", text, "add a key or make the route public")
    if draft.catalog.routes and not closed and owner_by_key:
        text = "all routes are public, so no key is ever asked for"
        yield _warning("workspaces", text, "remove the keys or close a route")


def _check_own_keys(
    place: str, entry: WorkspaceEntry, owner_by_key: dict[str, str]
) -> Iterator[Finding]:
    for key in entry.keys:
        owner = owner_by_key.setdefault(key, entry.workspace.name)
        name = describe_key(key)
        if owner != entry.workspace.name:
            text = f"{name} is also that of workspace {owner}, so only one of them gets it"
            yield _error(place, text, "give each workspace keys of its own")
        if not key or key != key.strip() or not _is_visible(key.replace(" ", "")):
            text = f"{name} never matches, since no header can carry it"
            yield _error(place, text, "use visible characters without spaces around them")


def _check_quota(workspace: Workspace, routes: tuple[Route, ...]) -> Iterator[Finding]:
    if workspace.quota_rate <= 0:
        if workspace.burst > 0:
            text = "its burst has no effect, since it has no rate"
            yield _warning(f"workspace {workspace.name}", text, "set a rate or remove the burst")
        return
    smallest = workspace.plain_tokens if workspace.counts_tokens else 1
    unit = "tokens" if workspace.counts_tokens else "requests"
    if workspace.burst < smallest:
        text = (
            f"its burst of {workspace.burst:g} is less than the {smallest} {unit} that a request"
            " without token counts takes, which so runs only once the burst is whole"
        )
        remedy = f"raise the burst to {smallest} or more"
        yield _warning(f"workspace {workspace.name}", text, remedy)
    longest = max((route.timeout for route in routes), default=0.0)
    if longest and smallest / workspace.quota_rate > longest:
        text = (
            f"its rate of {workspace.quota_rate:g} {unit} a second refills one request in"
            f" {describe_seconds(smallest / workspace.quota_rate)}, longer than any timeout"
        )
        yield _warning(f"workspace {workspace.name}", text, "raise the rate")


def _check_limits(limits: CallerLimits) -> Iterator[Finding]:
    if limits.header_bytes < MIN_HEADER_BYTES:
        text = f"{limits.header_bytes} bytes of headers hold no request with a host and a key"
        yield _error("limits", text, f"allow {MIN_HEADER_BYTES} bytes or more")
    if not limits.body_bytes:
        yield _warning("limits", "every request with a body is refused", "allow some bytes")
    if limits.header_timeout <= 0 or limits.idle_timeout <= 0:
        yield _error("limits", "a timeout of 0 closes every connection", "set both timeouts")
    elif limits.header_timeout > limits.idle_timeout:
        text = (
            f"callers have {describe_seconds(limits.header_timeout)} for the headers, but the"
            f" connection closes after {describe_seconds(limits.idle_timeout)} without a request"
        )
        yield _warning("limits", text, "raise the idle timeout above the header timeout")
