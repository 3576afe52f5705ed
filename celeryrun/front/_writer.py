"""Writing of answers and their outcomes to the answer buffer."""

from __future__ import annotations

import time
from typing import Any

import logbook
import msgspec

from celeryrun.claims import KEY_TOO_OLD
from celeryrun.dispatch import Usage
from celeryrun.exception import Refusal
from celeryrun.front._answer_cache import AnswerBuffer, AnswerHead
from celeryrun.front._request import Request
from celeryrun.kernel import Kernel

__all__ = ["AnswerWriter", "refusal_head"]

STREAM_HEAD = AnswerHead(200, "stream", (("Content-Type", "text/event-stream"),))
JSON_HEADERS = (("Content-Type", "application/json"),)
UNKNOWN_REMEDY = "the request may have run; ask the application before sending it anew"

log = logbook.Logger("answers")


class _GeneratedText(msgspec.Struct):
    text: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class _StreamEnd(msgspec.Struct):
    outcome: str
    reason: str = ""


def refusal_head(refusal: Refusal, certainly_not_run: bool = True) -> tuple[AnswerHead, bytes]:
    """Return head and body of the answer to a refused request.

    Parameters
    ----------
    certainly_not_run : bool
        Whether no earlier attempt under the idempotency key can have run; if not, the outcome
        is ``unknown`` instead of ``not-run``.
    """
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{max(1, round(refusal.retry_after))}"))
    body = msgspec.json.encode({"error": refusal.kind, "remedy": refusal.remedy})
    outcome = "not-run" if certainly_not_run and refusal is not KEY_TOO_OLD else "unknown"
    return AnswerHead(refusal.status, outcome, tuple(headers)), body


class AnswerWriter:
    """Writer of the answer to one request, which also records its outcome in log and metrics.

    Parameters
    ----------
    buffer : AnswerBuffer
        The buffer that the answer is written to.
    """

    __slots__ = ("_buffer", "_kernel", "_request")

    def __init__(self, kernel: Kernel, request: Request, buffer: AnswerBuffer) -> None:
        self._kernel = kernel
        self._request = request
        self._buffer = buffer

    @property
    def is_finished(self) -> bool:
        """Whether the answer has ended."""
        return self._buffer.finished_at is not None

    def write_token(self, index: int, text: str) -> None:
        """Write one token of a stream."""
        self._begin_stream()
        event = msgspec.json.encode({"index": index, "text": text})
        self._buffer.append(b"data: " + event + b"\n\n")

    def end_stream(self) -> None:
        """End a stream after its last token."""
        self._begin_stream()
        self._append_stream_end(_StreamEnd("complete"))
        self._buffer.finish(complete=True)
        self.count_outcome("complete")

    def write_generated_text(self, texts: list[str], usage: Usage) -> None:
        """Write an engine's complete answer at once, for a request without streaming."""
        body = _GeneratedText("".join(texts), usage.prompt, usage.cached, usage.completion)
        self.write_complete(AnswerHead(200, "complete", JSON_HEADERS), msgspec.json.encode(body))

    def write_complete(self, head: AnswerHead, body: bytes) -> None:
        """Write a complete answer."""
        self._observe_first_byte()
        self._write_all(head, body)
        self.count_outcome("complete")

    def write_not_run(self, refusal: Refusal) -> None:
        """Write a refusal of a request that was not run."""
        self._write_all(*refusal_head(refusal))
        self.count_outcome(refusal.kind)
        self._kernel.find("metrics").count_refusal(refusal.kind)

    def write_refusal_with_unknown_outcome(self, refusal: Refusal) -> None:
        """Write a refusal with the outcome unknown, since an earlier attempt may have run."""
        self._write_all(*refusal_head(refusal, certainly_not_run=False))
        self.count_outcome("unknown")

    def write_unknown(self, reason: str) -> None:
        """Write that the request may have run; a stream that has begun ends incomplete."""
        log.warning("request ended with outcome unknown: {}", reason)
        self.count_outcome("unknown")
        if self._buffer.head is None:
            content = {"error": "unknown", "reason": reason, "remedy": UNKNOWN_REMEDY}
            self._write_all(AnswerHead(502, "unknown", JSON_HEADERS), msgspec.json.encode(content))
            return
        if self._buffer.head.outcome == "stream":
            self._append_stream_end(_StreamEnd("unknown", reason))
        self._buffer.finish(complete=False)

    def count_outcome(self, outcome: str) -> None:
        """Record the outcome in metrics and log."""
        metrics, workspace_label, tier = self._labels()
        metrics.answers.labels(workspace_label, tier, outcome).inc()
        elapsed = time.monotonic() - self._request.arrived_at
        metrics.whole_answer.labels(workspace_label, tier).observe(elapsed)
        log.info("answered {} after {:.3f} s", outcome, elapsed)

    def observe_queue_wait(self) -> None:
        """Record how long the request has waited for a slot."""
        metrics, workspace_label, tier = self._labels()
        metrics.queue_wait.labels(workspace_label, tier).observe(
            time.monotonic() - self._request.arrived_at
        )

    def _observe_first_byte(self) -> None:
        metrics, workspace_label, tier = self._labels()
        metrics.first_byte.labels(workspace_label, tier).observe(
            time.monotonic() - self._request.arrived_at
        )

    def _labels(self) -> tuple[Any, str, str]:
        metrics = self._kernel.find("metrics")
        return metrics, metrics.label(self._request.plan.workspace), str(self._request.plan.tier)

    def _begin_stream(self) -> None:
        if self._buffer.head is None:
            self._buffer.set_head(STREAM_HEAD)
            self._observe_first_byte()

    def _append_stream_end(self, stream_end: _StreamEnd) -> None:
        self._buffer.append(b"event: outcome\ndata: " + msgspec.json.encode(stream_end) + b"\n\n")

    def _write_all(self, head: AnswerHead, body: bytes) -> None:
        self._buffer.set_head(head)
        self._buffer.append(body)
        self._buffer.finish(complete=True)
