"""Differences between a configuration and the one in force."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any

import msgspec

from celeryrun.catalog import CatalogDraft, Route, WorkspaceEntry
from celeryrun.checks._words import describe_key, describe_seconds, describe_value
from celeryrun.configuration import Configuration

__all__ = ["Difference", "compare_configurations", "compare_drafts"]

DURATIONS = frozenset(
    {"timeout", "objective", "max_pause", "patience", "header_timeout", "idle_timeout"}
)


@dataclass(frozen=True, slots=True)
class Difference:
    """Change of one entry.

    Parameters
    ----------
    place : str
        Entry that changes, such as ``route drafts``.
    text : str
        The change in words.
    """

    place: str
    text: str

    def __str__(self) -> str:
        """Return the difference as one line of text."""
        return f"{self.place}: {self.text}"


def compare_drafts(current: CatalogDraft, new: CatalogDraft) -> list[Difference]:
    """Return what a new configuration changes.

    Examples
    --------
    >>> from celeryrun.catalog import CallerLimits, Catalog
    >>> current = CatalogDraft(Catalog(1, (), {}, {}, CallerLimits()))
    >>> new = CatalogDraft(Catalog(2, (), {}, {}, CallerLimits(idle_timeout=20.0)))
    >>> [str(difference) for difference in compare_drafts(current, new)]
    ['version: 1 to 2', 'limits: idle timeout 15 s to 20 s']
    """
    return [
        *_compare_versions(current.catalog.version, new.catalog.version),
        *_compare_entries(
            "route",
            {route.name: route for route in current.catalog.routes},
            {route.name: route for route in new.catalog.routes},
            _describe_route_changes,
        ),
        *_compare_entries(
            "pool",
            {pool.name: pool for pool in current.pools},
            {pool.name: pool for pool in new.pools},
            _describe_changes,
        ),
        *_compare_entries(
            "workspace",
            {entry.workspace.name: entry for entry in current.workspaces},
            {entry.workspace.name: entry for entry in new.workspaces},
            _describe_workspace_changes,
        ),
        *_compare_key_use(current, new),
        *(
            Difference("limits", text)
            for text in _describe_changes(current.catalog.limits, new.catalog.limits)
        ),
    ]


def compare_configurations(current: Configuration, new: Configuration) -> list[Difference]:
    """Return what new lists of plans and pools change.

    Examples
    --------
    >>> from celeryrun.configuration import parse_lists
    >>> current = parse_lists("", "[drafts]\\nkind = engine\\nplans = sales")
    >>> new = parse_lists("", "[drafts]\\nkind = engine\\nplans = sales, office")
    >>> [str(difference) for difference in compare_configurations(current, new)]
    ['pool drafts: plans sales to sales, office']
    """
    return [
        *_compare_entries(
            "workspace", current.plans_by_workspace, new.plans_by_workspace, _describe_changes
        ),
        *_compare_entries("pool", current.pools_by_name, new.pools_by_name, _describe_changes),
    ]


def _compare_versions(current: int, new: int) -> Iterator[Difference]:
    if new > current:
        yield Difference("version", f"{current} to {new}")
    else:
        text = f"{new} is not higher than {current}, so that it would not come into force"
        yield Difference("version", text)


def _compare_entries(
    kind: str,
    current_by_name: Mapping[str, Any],
    new_by_name: Mapping[str, Any],
    describe: Callable[[Any, Any], Iterator[str]],
) -> Iterator[Difference]:
    for name in sorted({*current_by_name, *new_by_name}):
        place = f"{kind} {name}"
        if name not in new_by_name:
            yield Difference(place, "removed")
        elif name not in current_by_name:
            yield Difference(place, "added")
        else:
            for text in describe(current_by_name[name], new_by_name[name]):
                yield Difference(place, text)


def _describe_changes(current: Any, new: Any) -> Iterator[str]:
    """Yield the change of each field of two records of a type."""
    names = (
        [field.name for field in msgspec.structs.fields(current)]
        if isinstance(current, msgspec.Struct)
        else [field.name for field in fields(current)]
    )
    for name in names:
        before, after = getattr(current, name), getattr(new, name)
        if before == after:
            continue
        words = name.replace("_", " ")
        if name in DURATIONS:
            yield f"{words} {describe_seconds(before)} to {describe_seconds(after)}"
        elif name == "key_hash":
            yield "another key"
        else:
            yield f"{words} {describe_value(before)} to {describe_value(after)}"


def _describe_route_changes(current: Route, new: Route) -> Iterator[str]:
    if current.kind != new.kind:
        for text in _describe_changes(current.kind, new.kind):
            yield f"its requests: {text}"
    if current.splits != new.splits:
        yield f"pools {_describe_splits(current)} to {_describe_splits(new)}"
    omitted = ("kind ", "splits ", "patience ")  # the patience follows from the objectives
    yield from (text for text in _describe_changes(current, new) if not text.startswith(omitted))


def _describe_splits(route: Route) -> str:
    return ", ".join(
        split.pool if len(route.splits) == 1 else f"{split.pool} {describe_value(split.weight)}"
        for split in route.splits
    )


def _describe_workspace_changes(current: WorkspaceEntry, new: WorkspaceEntry) -> Iterator[str]:
    yield from _describe_changes(current.workspace, new.workspace)
    for key in new.keys:
        if key not in current.keys:
            yield f"{describe_key(key)} is added"
    for key in current.keys:
        if key not in new.keys:
            yield f"{describe_key(key)} is removed, and its callers are refused"


def _compare_key_use(current: CatalogDraft, new: CatalogDraft) -> Iterator[Difference]:
    match current.catalog.has_workspaces, new.catalog.has_workspaces:
        case True, False:
            yield Difference("workspaces", "the list is removed, so that nobody needs a key")
        case False, True:
            yield Difference("workspaces", "a list is added, so that callers need a key")
