"""What a node knows of its direct paths to targets, without network access."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PathTable"]

RETRY_INTERVAL = 0.5  # s between two direct connections on a lost path, beside one that is carried


@dataclass(slots=True)
class LostPath:
    """Direct path that failed while another node reached the target."""

    retry_at: float


class PathTable:
    """Lost paths by target.

    Examples
    --------
    >>> table = PathTable()
    >>> table.record_lost("a", now=1.0)
    True
    >>> table.is_lost("a"), table.is_lost("b")
    (True, False)

    A lost path is tried again now and then:

    >>> table.take_retry("a", now=1.2), table.take_retry("a", now=1.6), table.take_retry("a", 1.7)
    (False, True, False)

    Once one path is back, the others are tried at once:

    >>> _ = table.record_lost("b", now=1.6)
    >>> table.record_direct("a", now=1.7)
    True
    >>> table.is_lost("a"), table.take_retry("b", now=1.7)
    (False, True)
    """

    __slots__ = ("_lost_by_target",)

    def __init__(self) -> None:
        self._lost_by_target: dict[str, LostPath] = {}

    @property
    def lost(self) -> tuple[str, ...]:
        """Targets to which the path is lost."""
        return tuple(self._lost_by_target)

    def is_lost(self, target: str) -> bool:
        """Return whether the direct path to a target is lost."""
        return target in self._lost_by_target

    def has_lost_other(self, target: str) -> bool:
        """Return whether the paths to other targets are lost."""
        return bool(self._lost_by_target.keys() - {target})

    def record_lost(self, target: str, now: float) -> bool:
        """Note that another node reached a target that this one did not; return if it is news."""
        is_news = target not in self._lost_by_target
        if is_news:
            self._lost_by_target[target] = LostPath(now + RETRY_INTERVAL)
        return is_news

    def record_direct(self, target: str, now: float) -> bool:
        """Note a direct connection; return whether the path had been lost."""
        if self._lost_by_target.pop(target, None) is None:
            return False
        for lost_path in self._lost_by_target.values():
            lost_path.retry_at = now
        return True

    def take_retry(self, target: str, now: float) -> bool:
        """Return whether a lost path is to be tried now, which puts off the next time."""
        lost_path = self._lost_by_target.get(target)
        if lost_path is None or now < lost_path.retry_at:
            return False
        lost_path.retry_at = now + RETRY_INTERVAL
        return True

    def forget_targets(self, listed: set[str]) -> None:
        """Forget the paths to targets that are no longer listed."""
        for target in self._lost_by_target.keys() - listed:
            del self._lost_by_target[target]
