"""Publication of changes to the lists of plans and pools."""

from __future__ import annotations

import secrets
import threading
import time

from celeryrun.claims import key_age
from celeryrun.claims._key import new_idempotency_key
from celeryrun.configuration._lists import diff_lists
from celeryrun.configuration._log_follower import LogFollower
from celeryrun.configuration._model import (
    CONFIGURATION_STREAM,
    Change,
    ChangeOutcome,
    Configuration,
    SnapshotSigner,
    encode_record,
)
from celeryrun.configuration._replica import ConfigurationReplica
from celeryrun.exception import (
    ConfigurationRejectedError,
    LogUnavailableError,
    RecordsExpiredError,
)
from celeryrun.streams import LogClient, TooManyAppendsError

__all__ = ["Publisher", "new_change_id"]

RETRY_DELAY = 0.2  # s
MAX_CLOCK_SKEW = 60.0  # s, between the clocks of an operator and the platform
RANDOM_BITS = 74


def new_change_id() -> str:
    """Return a unique change id that contains its creation time."""
    return new_idempotency_key(time.time(), secrets.randbits(RANDOM_BITS))


class Publisher:
    """Appends changes to the log and reads the log back for their outcomes.

    Parameters
    ----------
    client : LogClient
        The platform's log.
    patience : float
        Seconds to retry while the log is unavailable.
    key : str
        Secret that all nodes share; it signs snapshots.
    stream : str
        Name of the stream.
    """

    __slots__ = ("_client", "_follower", "_patience", "_replica", "_stream")

    def __init__(
        self, client: LogClient, patience: float, key: str, stream: str = CONFIGURATION_STREAM
    ) -> None:
        self._client = client
        self._patience = patience
        self._stream = stream
        self._replica = ConfigurationReplica(SnapshotSigner(key))
        self._follower = LogFollower(client, stream, self._replica, threading.Lock())

    def read(self) -> Configuration:
        """Return the configuration in force at the end of the log.

        Raises
        ------
        RecordsExpiredError
            If records of the log are missing and no snapshot covers them.
        LogUnavailableError
            If the log stays unavailable.
        """
        self._catch_up(time.monotonic() + self._patience)
        return self._replica.current

    def publish(
        self, wanted: Configuration, change_id: str | None = None, base: int | None = None
    ) -> ChangeOutcome:
        """Publish both lists and wait for the outcome.

        Parameters
        ----------
        wanted : Configuration
            Wanted lists; the version is ignored.
        change_id : str, optional
            Id of an earlier attempt; if that attempt has an outcome, it is returned unchanged.
        base : int, optional
            Version that the lists were derived from. If another version is in force, the lists are
            rejected, so that they don't silently revert changes accepted in between.

        Raises
        ------
        ConfigurationRejectedError
            If another change was accepted first or this one is not valid.
        RecordsExpiredError
            If the outcome of the change id may have been evicted, or records of the log are missing
            and no snapshot covers them.
        LogUnavailableError
            If the outcome is unknown; retry with the change id in the message.
        """
        is_retry = change_id is not None
        change_id = change_id or new_change_id()
        deadline = time.monotonic() + self._patience
        try:
            log_time = self._catch_up(deadline)
            if change_id not in self._replica.outcome_by_change_id:
                if is_retry:
                    self._check_age(change_id, log_time)
                self._check_base(base)
                change = diff_lists(self._replica.current, wanted, change_id)
                if change == Change(change_id, self._replica.current.version):
                    return ChangeOutcome(True, self._replica.current.version, "already in force")
                self._append(change, deadline)
        except LogUnavailableError as error:
            reason = f"outcome of change {change_id} unknown: {error}"
            raise LogUnavailableError(reason, error.effect_possible) from error
        outcome = self._replica.outcome_by_change_id[change_id]
        if not outcome.accepted:
            raise ConfigurationRejectedError(outcome.reason)
        return outcome

    def _check_base(self, base: int | None) -> None:
        version = self._replica.current.version
        if base is not None and base != version:
            raise ConfigurationRejectedError(
                f"the lists were made upon version {base}, but {version} is in force; "
                "bring them up to date and publish again"
            )

    def _check_age(self, change_id: str, log_time: float) -> None:
        age = key_age(change_id, log_time)
        if age is None:
            raise RecordsExpiredError(f"{change_id!r} is no change id of celeryrun publish")
        if log_time - age < self._replica.known_since + MAX_CLOCK_SKEW * bool(
            self._replica.known_since
        ):
            raise RecordsExpiredError(f"the outcome of change {change_id} is no longer known")

    def _append(self, change: Change, deadline: float) -> None:
        body = encode_record(change)
        while change.change_id not in self._replica.outcome_by_change_id:
            try:
                self._client.append(self._stream, body)
            except (LogUnavailableError, TooManyAppendsError) as error:
                if time.monotonic() > deadline:
                    raise LogUnavailableError(str(error), True) from error
                time.sleep(RETRY_DELAY)
            self._catch_up(deadline)

    def _catch_up(self, deadline: float) -> float:
        """Read to the end of the log; return the log's time in seconds since the epoch."""
        while True:
            try:
                read_result = self._follower.read_page(0.0)
            except LogUnavailableError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(RETRY_DELAY)
                continue
            if read_result.caught_up:
                return read_result.log_time
            if read_result.at_end and time.monotonic() > deadline:
                raise RecordsExpiredError("the log lacks records and no snapshot covers them")
            if read_result.at_end or not read_result.has_records:
                time.sleep(RETRY_DELAY)
