"""Decision on the version at which a stream that its caller takes up again may go on."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from celeryrun.continuity._origins import CONTRADICTORY, StreamOrigin
from celeryrun.continuity._versions import VersionHistory

__all__ = ["Bound", "Resolution", "Unknown", "resolve"]


@dataclass(frozen=True, slots=True)
class Bound:
    """The stream may go on at targets of one version only.

    Parameters
    ----------
    why : str
        ``recorded``, or ``inferred`` if only one version can have begun it.
    age : float
        Seconds since the origin was recorded, or for which the versions are known.
    """

    version: str
    why: str
    age: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """Several versions may have begun the stream, so it must not go on."""

    why: str


Resolution = Bound | Unknown


def resolve(
    origin: StreamOrigin | None,
    history: VersionHistory,
    lifetime: float,
    recorded_versions: Collection[str],
    now: float,
    list_is_current: bool = True,
) -> Resolution:
    """Return the version that began a stream, if it is known or can be inferred.

    Parameters
    ----------
    lifetime : float
        Longest time in seconds for which a stream may last, over all tries of its caller.
    recorded_versions : collection of str
        All versions that may have begun streams before the history, empty if they are not known.
    list_is_current : bool, optional
        Whether the list of targets is known to be the newest; other versions may serve otherwise.

    Examples
    --------
    >>> history = VersionHistory(observed_since=0.0)
    >>> history.add("1.4")
    >>> resolve(None, history, 30.0, recorded_versions=(), now=40.0)
    Bound(version='1.4', why='inferred', age=40.0)
    >>> history.add("1.5")
    >>> resolve(None, history, 30.0, recorded_versions=(), now=41.0)
    Unknown(why='2 versions were listed')
    >>> resolve(StreamOrigin("1.4", 39.0, 70.0), history, 30.0, (), now=41.0)
    Bound(version='1.4', why='recorded', age=2.0)
    """
    if origin is not None:
        if origin.version == CONTRADICTORY:
            return Unknown("contradictory reports")
        return Bound(origin.version, "recorded", now - origin.recorded_at)
    if not list_is_current:
        return Unknown("the list of targets is old")
    versions = history.versions_since(now - lifetime)
    known_for = now - history.observed_since
    if known_for < lifetime:
        versions |= set(recorded_versions)
    if len(versions) != 1:
        return Unknown(f"{len(versions)} versions were listed")
    if known_for < lifetime and not recorded_versions:
        return Unknown("earlier versions are not known")
    return Bound(versions.pop(), "inferred", known_for)
