"""Limit on the memory that the peers of several connections make a process keep."""

from __future__ import annotations

import math
from typing import Protocol

from celeryrun.kernel import now

__all__ = ["ByteAccount", "ByteBudget", "Holder"]

ORDINARY_BYTES = 65_536  # that a holder may have in all to use the part kept for ordinary ones
ORDINARY_FRACTION = 0.15  # of the limit
SEARCH_INTERVAL = 0.05  # s after a search for bytes to give up that found none


class Holder(Protocol):
    """Owner of an account, which may have to give up what it holds."""

    def weigh(self, time: float) -> float:
        """Return the held bytes times the seconds without an end; 0 if they must be kept."""

    def give_up(self) -> None:
        """Release all bytes."""


class ByteBudget:
    """Counter of reserved bytes with an upper limit.

    Beyond the limit, the holder gives up its bytes that holds most for longest. A part of the limit
    is only for holders of little.

    Parameters
    ----------
    limit : float
        Maximum number of bytes reserved at once, unlimited by default.

    Attributes
    ----------
    reserved : int
        Bytes reserved now.

    Examples
    --------
    >>> budget = ByteBudget(10)
    >>> account = budget.open_account()
    >>> account.reserve(8), account.reserve(3)
    (True, False)
    >>> account.release(8)
    >>> account.reserve(3), budget.reserved
    (True, 3)
    """

    __slots__ = ("_accounts", "_searched_at", "limit", "reserved")

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.reserved = 0
        self._accounts: dict[ByteAccount, Holder] = {}
        self._searched_at = -math.inf

    def open_account(self, holder: Holder | None = None) -> ByteAccount:
        """Return a new account; without a holder its bytes are never given up."""
        account = ByteAccount(self)
        if holder is not None and self.limit < math.inf:
            self._accounts[account] = holder
        return account

    def close_account(self, account: ByteAccount) -> None:
        """Release the bytes of an account and forget it."""
        account.release(account.held)
        self._accounts.pop(account, None)

    def has_room(self, size: int, held: int) -> bool:
        """Return whether a holder of some bytes may reserve more."""
        is_ordinary = held + size <= ORDINARY_BYTES
        limit = self.limit if is_ordinary else self.limit * (1 - ORDINARY_FRACTION)
        return self.reserved + size <= limit

    def make_room(self, size: int, account: ByteAccount) -> bool:
        """Let others give up bytes until there is room; return whether there is.

        An account whose own holder weighs most gets none.
        """
        time = now()
        if time < self._searched_at + SEARCH_INTERVAL:
            return False
        weights = {other: holder.weigh(time) for other, holder in self._accounts.items()}
        heaviest_first = sorted(weights, key=lambda other: -weights[other])
        for other in heaviest_first:
            if self.has_room(size, account.held):
                return True
            if weights[other] <= 0 or other is account:
                break
            self._accounts[other].give_up()
        has_room = self.has_room(size, account.held)
        if not has_room:
            self._searched_at = time
        return has_room


class ByteAccount:
    """Bytes of a budget that one holder has reserved.

    Attributes
    ----------
    held : int
        Number of bytes.
    """

    __slots__ = ("_budget", "held")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self.held = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes unless that exceeds the limit; return whether they are reserved."""
        budget = self._budget
        if not (budget.has_room(size, self.held) or budget.make_room(size, self)):
            return False
        self._add(size)
        return True

    def charge(self, size: int) -> None:
        """Reserve bytes that are kept already, also beyond the limit."""
        self._add(size)
        if not self._budget.has_room(0, self.held):
            self._budget.make_room(0, self)

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget, at most those held."""
        self._add(-min(size, self.held))

    def close(self) -> None:
        """Release all bytes; the holder is gone."""
        self._budget.close_account(self)

    def _add(self, size: int) -> None:
        self.held += size
        self._budget.reserved += size
