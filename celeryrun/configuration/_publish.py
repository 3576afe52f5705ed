"""Publishing a change of the two lists."""

from __future__ import annotations

import time
import uuid

from celeryrun.configuration._fold import Fold, Outcome
from celeryrun.configuration._lists import diff_lists
from celeryrun.configuration._model import (
    CONFIGURATION_STREAM,
    Change,
    Configuration,
    encode_record,
)
from celeryrun.exception import ConfigurationRejectedError, LogUnavailableError
from celeryrun.platform import LogClient, TooManyAppendsError

__all__ = ["Publisher"]

RETRY_PERIOD = 0.2  # s


class Publisher:
    """Publishes to the log and learns the outcome by reading it back.

    Parameters
    ----------
    client : LogClient
        The platform's log.
    patience : float
        Seconds to go on while the log does not answer.
    """

    __slots__ = ("_client", "_fold", "_patience")

    def __init__(self, client: LogClient, patience: float) -> None:
        self._client = client
        self._patience = patience
        self._fold = Fold()

    def publish(self, wanted: Configuration, change_id: str | None = None) -> Outcome:
        """Bring two lists into force.

        Parameters
        ----------
        wanted : Configuration
            The lists, of any version.
        change_id : str, optional
            Unique id of the change; repeat it to learn the outcome of an earlier try.

        Raises
        ------
        ConfigurationRejectedError
            If another operator was first or the change is not valid.
        LogUnavailableError
            If the outcome stays unknown; repeat with the change id in the message.
        """
        change_id = change_id or uuid.uuid4().hex
        until = time.monotonic() + self._patience
        try:
            self._catch_up(until)
            if change_id not in self._fold.outcome_by_change:
                change = diff_lists(self._fold.current, wanted, change_id)
                if change == Change(change_id, self._fold.current.version):
                    return Outcome(True, self._fold.current.version, "already in force")
                self._append(change, until)
        except LogUnavailableError as error:
            reason = f"outcome of change {change_id} unknown: {error}"
            raise LogUnavailableError(reason, error.effect_possible) from error
        outcome = self._fold.outcome_by_change[change_id]
        if not outcome.accepted:
            raise ConfigurationRejectedError(outcome.reason)
        return outcome

    def _append(self, change: Change, until: float) -> None:
        body = encode_record(change)
        while change.change_id not in self._fold.outcome_by_change:
            try:
                self._client.append(CONFIGURATION_STREAM, body)
            except (LogUnavailableError, TooManyAppendsError) as error:
                if time.monotonic() > until:
                    raise LogUnavailableError(str(error), True) from error
                time.sleep(RETRY_PERIOD)
            self._catch_up(until)

    def _catch_up(self, until: float) -> None:
        while True:
            try:
                page = self._client.read(CONFIGURATION_STREAM, self._fold.folded_to)
            except LogUnavailableError:
                if time.monotonic() > until:
                    raise
                time.sleep(RETRY_PERIOD)
                continue
            self._fold.take_page(page)
            if self._fold.folded_to >= page.end or not page.records:
                return
