"""Writing a request's answer, with its outcome, to the exchange that callers read."""

from __future__ import annotations

import time
from typing import Any

import logbook
import msgspec

from celeryrun.claims import TOO_OLD
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


class _Text(msgspec.Struct):
    text: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class _StreamEnd(msgspec.Struct):
    outcome: str
    reason: str = ""


def refusal_head(refusal: Refusal, known: bool = True) -> tuple[AnswerHead, bytes]:
    """Return head and body that tell a caller that the request was not run.

    Parameters
    ----------
    known : bool
        Whether it is known that no earlier attempt under the key ran; if not, the outcome told
        is unknown.
    """
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{max(1, round(refusal.retry_after))}"))
    body = msgspec.json.encode({"error": refusal.kind, "remedy": refusal.remedy})
    outcome = "not-run" if known and refusal is not TOO_OLD else "unknown"
    return AnswerHead(refusal.status, outcome, tuple(headers)), body


class AnswerWriter:
    """Writes one request's answer and counts its outcome.

    Parameters
    ----------
    buffer : AnswerBuffer
        What any number of callers may read.
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

    def token(self, index: int, text: str) -> None:
        """Write one piece of a stream."""
        self._begin_stream()
        event = msgspec.json.encode({"index": index, "text": text})
        self._buffer.append(b"data: " + event + b"\n\n")

    def end_stream(self) -> None:
        """End a stream whose pieces have all been written."""
        self._begin_stream()
        self._add_end(_StreamEnd("complete"))
        self._buffer.finish(complete=True)
        self.count("complete")

    def text(self, texts: list[str], usage: Usage) -> None:
        """Write an engine's whole answer at once."""
        body = _Text("".join(texts), usage.prompt, usage.cached, usage.completion)
        self.complete(AnswerHead(200, "complete", JSON_HEADERS), msgspec.json.encode(body))

    def complete(self, head: AnswerHead, body: bytes) -> None:
        """Write a whole answer."""
        self._observe_first()
        self._write(head, body)
        self.count("complete")

    def not_run(self, refusal: Refusal) -> None:
        """Tell that the request was not run."""
        self._write(*refusal_head(refusal))
        self.count(refusal.kind)
        self._kernel.find("metrics").count_refusal(refusal.kind)

    def refused_but_unknown(self, refusal: Refusal) -> None:
        """Tell of a refusal where an earlier attempt under the key may have run."""
        self._write(*refusal_head(refusal, known=False))
        self.count("unknown")

    def unknown(self, reason: str) -> None:
        """Tell that the request may have run; a stream that has begun is left visibly short."""
        log.warning("outcome unknown: {}", reason)
        self.count("unknown")
        if self._buffer.head is None:
            content = {"error": "unknown", "reason": reason, "remedy": UNKNOWN_REMEDY}
            self._write(AnswerHead(502, "unknown", JSON_HEADERS), msgspec.json.encode(content))
            return
        if self._buffer.head.outcome == "stream":
            self._add_end(_StreamEnd("unknown", reason))
        self._buffer.finish(complete=False)

    def count(self, outcome: str) -> None:
        """Count and log an outcome."""
        metrics, label, tier = self._labels()
        metrics.answers.labels(label, tier, outcome).inc()
        passed = time.monotonic() - self._request.arrived_at
        metrics.whole.labels(label, tier).observe(passed)
        log.info("answered {} after {:.3f} s", outcome, passed)

    def observe_wait(self) -> None:
        """Note how long the request has waited for a slot."""
        metrics, label, tier = self._labels()
        metrics.queue_wait.labels(label, tier).observe(time.monotonic() - self._request.arrived_at)

    def _observe_first(self) -> None:
        metrics, label, tier = self._labels()
        metrics.first_byte.labels(label, tier).observe(time.monotonic() - self._request.arrived_at)

    def _labels(self) -> tuple[Any, str, str]:
        metrics = self._kernel.find("metrics")
        return metrics, metrics.label(self._request.plan.workspace), str(self._request.plan.tier)

    def _begin_stream(self) -> None:
        if self._buffer.head is None:
            self._buffer.set_head(STREAM_HEAD)
            self._observe_first()

    def _add_end(self, end: _StreamEnd) -> None:
        self._buffer.append(b"event: outcome\ndata: " + msgspec.json.encode(end) + b"\n\n")

    def _write(self, head: AnswerHead, body: bytes) -> None:
        self._buffer.set_head(head)
        self._buffer.append(body)
        self._buffer.finish(complete=True)
