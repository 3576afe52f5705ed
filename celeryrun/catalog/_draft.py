"""Configuration that is not in force yet, with the entries that a catalogue would merge."""

from __future__ import annotations

from dataclasses import dataclass

from celeryrun.catalog._model import Catalog, Pool, Workspace

__all__ = ["CatalogDraft", "WorkspaceEntry"]


@dataclass(frozen=True, slots=True)
class WorkspaceEntry:
    """Entry of one workspace in a configuration, with its API keys."""

    workspace: Workspace
    keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CatalogDraft:
    """One version of the operator's configuration as it was written.

    Parameters
    ----------
    catalog : Catalog
        The configuration as it would be in force.
    pools : tuple of Pool
        Entries of the pools in order, including repeated names.
    workspaces : tuple of WorkspaceEntry
        Entries of the workspaces in order, including repeated names and keys.
    """

    catalog: Catalog
    pools: tuple[Pool, ...] = ()
    workspaces: tuple[WorkspaceEntry, ...] = ()
