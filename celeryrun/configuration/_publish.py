"""Publishing a change of the two lists."""

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
    ConfigurationForgottenError,
    ConfigurationRejectedError,
    LogUnavailableError,
)
from celeryrun.streams import LogClient, TooManyAppendsError

__all__ = ["Publisher", "new_change_id"]

RETRY_PERIOD = 0.2  # s
CLOCK_SKEW = 60.0  # s between an operator's clock and the platform's
ID_BITS = 74


def new_change_id() -> str:
    """Return a unique id that carries its time of birth."""
    return new_idempotency_key(time.time(), secrets.randbits(ID_BITS))


class Publisher:
    """Publishes to the log and learns the outcome by reading it back.

    Parameters
    ----------
    client : LogClient
        The platform's log.
    patience : float
        Seconds to go on while the log does not answer.
    key : str
        Secret shared by all nodes, with which snapshots are signed.
    stream : str
        Name of the stream.
    """

    __slots__ = ("_client", "_fold", "_follower", "_patience", "_stream")

    def __init__(
        self, client: LogClient, patience: float, key: str, stream: str = CONFIGURATION_STREAM
    ) -> None:
        self._client = client
        self._patience = patience
        self._stream = stream
        self._fold = ConfigurationReplica(SnapshotSigner(key))
        self._follower = LogFollower(client, stream, self._fold, threading.Lock())

    def read(self) -> Configuration:
        """Return the configuration in force at the end of the log.

        Raises
        ------
        ConfigurationForgottenError
            If the log is not whole.
        LogUnavailableError
            If the log does not answer.
        """
        self._catch_up(time.monotonic() + self._patience)
        return self._fold.current

    def publish(
        self, wanted: Configuration, change_id: str | None = None, base: int | None = None
    ) -> ChangeOutcome:
        """Bring two lists into force.

        Parameters
        ----------
        wanted : Configuration
            The lists, of any version.
        change_id : str, optional
            Id of an earlier try, whose outcome is wanted; it is not run again if it took place.
        base : int, optional
            Version that the lists were made upon; another one in force refuses them, so that
            nothing accepted since is taken back unseen.

        Raises
        ------
        ConfigurationRejectedError
            If another operator was first or the change is not valid.
        ConfigurationForgottenError
            If the change id is so old that its outcome is forgotten, or the log is not whole.
        LogUnavailableError
            If the outcome stays unknown; repeat with the change id in the message.
        """
        repeated = change_id is not None
        change_id = change_id or new_change_id()
        until = time.monotonic() + self._patience
        try:
            now = self._catch_up(until)
            if change_id not in self._fold.outcome_by_change_id:
                if repeated:
                    self._require_young(change_id, now)
                self._require_base(base)
                change = diff_lists(self._fold.current, wanted, change_id)
                if change == Change(change_id, self._fold.current.version):
                    return ChangeOutcome(True, self._fold.current.version, "already in force")
                self._append(change, until)
        except LogUnavailableError as error:
            reason = f"outcome of change {change_id} unknown: {error}"
            raise LogUnavailableError(reason, error.effect_possible) from error
        outcome = self._fold.outcome_by_change_id[change_id]
        if not outcome.accepted:
            raise ConfigurationRejectedError(outcome.reason)
        return outcome

    def _require_base(self, base: int | None) -> None:
        version = self._fold.current.version
        if base is not None and base != version:
            raise ConfigurationRejectedError(
                f"the lists were made upon version {base}, but {version} is in force; "
                "bring them up to date and publish again"
            )

    def _require_young(self, change_id: str, now: float) -> None:
        age = key_age(change_id, now)
        if age is None:
            raise ConfigurationForgottenError(f"{change_id!r} is no change id that publish printed")
        if now - age < self._fold.known_since + CLOCK_SKEW * bool(self._fold.known_since):
            raise ConfigurationForgottenError(f"the outcome of change {change_id} is forgotten")

    def _append(self, change: Change, until: float) -> None:
        body = encode_record(change)
        while change.change_id not in self._fold.outcome_by_change_id:
            try:
                self._client.append(self._stream, body)
            except (LogUnavailableError, TooManyAppendsError) as error:
                if time.monotonic() > until:
                    raise LogUnavailableError(str(error), True) from error
                time.sleep(RETRY_PERIOD)
            self._catch_up(until)

    def _catch_up(self, until: float) -> float:
        """Read to the end of the log; return the platform's time in seconds since the epoch."""
        while True:
            try:
                step = self._follower.read_page(0.0)
            except LogUnavailableError:
                if time.monotonic() > until:
                    raise
                time.sleep(RETRY_PERIOD)
                continue
            if step.caught_up:
                return step.log_time
            if step.at_end and time.monotonic() > until:
                raise ConfigurationForgottenError("the log has records missing and no snapshot")
            if step.at_end or not step.has_records:
                time.sleep(RETRY_PERIOD)
