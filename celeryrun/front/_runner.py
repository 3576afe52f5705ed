"""One admitted request, run straight down: slot, claim, dispatch, answer."""

from __future__ import annotations

import socket
import threading
import time
import uuid
from collections.abc import Generator
from contextlib import AbstractContextManager

import logbook
import msgspec

from celeryrun.claims import Lost, Unresolved, Won
from celeryrun.dispatch import (
    Answer,
    EngineStream,
    NotDispatched,
    Token,
    Unknown,
    Usage,
    call_application,
    cancel_stream,
)
from celeryrun.exception import Refusal
from celeryrun.front._answers import Exchange, Head
from celeryrun.front._request import Request
from celeryrun.kernel import Kernel, check
from celeryrun.pool._prefix import hash_prefix
from celeryrun.wire import Grant

__all__ = ["Runner", "refusal_head"]

AVOID_SECONDS = 1.0
FIRST_PAUSE = 0.02  # s before a slot is asked for anew, when one could not be used
LONGEST_PAUSE = 0.5  # s
CLAIM_TIMEOUT = 3.0  # s that a slot is held while a claim is not resolved
FAILED = Refusal(500, "node-failed", "the node failed; retry, and tell your operator", 1.0)
GONE = Refusal(499, "caller-gone", "the caller hung up while the request waited")

log = logbook.Logger("runner")


class _Text(msgspec.Struct):
    text: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


def _cancel_later(address: str, stream_id: str) -> None:
    # The caller must not wait for an engine that may be silent.
    arguments = (address, stream_id)
    threading.Thread(target=cancel_stream, args=arguments, name="cancel", daemon=True).start()


class _StreamEnd(msgspec.Struct):
    outcome: str
    reason: str = ""


def refusal_head(refusal: Refusal) -> tuple[Head, bytes]:
    """Return head and body that tell a caller that the request was not run."""
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{max(1, round(refusal.retry_after))}"))
    body = msgspec.json.encode({"error": refusal.kind, "remedy": refusal.remedy})
    return Head(refusal.status, "not-run", tuple(headers)), body


class Runner:
    """Runs one request and writes its answer to an exchange.

    Parameters
    ----------
    connection : socket or None
        The caller's connection, watched while the request waits.
    """

    __slots__ = ("_connection", "_dispatched", "_exchange", "_gone", "_kernel", "_request")

    def __init__(
        self,
        kernel: Kernel,
        request: Request,
        exchange: Exchange,
        connection: socket.socket | None,
    ) -> None:
        self._kernel = kernel
        self._request = request
        self._exchange = exchange
        self._connection = connection
        self._gone = threading.Event()
        self._dispatched = False

    def run(self) -> Generator[None, None, None]:
        """Run to the end; yields whenever the exchange has grown.

        A caller that named its request may come back for the answer, so closing the iterator
        does not stop such a request; otherwise it is cancelled.
        """
        steps = self._steps()
        try:
            for _ in steps:
                yield
            yield
        except GeneratorExit:
            if not self._request.named and not self._request.key:
                self._gone.set()
            for _ in steps:
                pass
            raise

    def _steps(self) -> Generator[None, None, None]:
        pause = FIRST_PAUSE
        try:
            while True:
                grant = self._wait_for_slot()
                if isinstance(grant, Refusal):
                    self._refuse(grant)
                    return
                ended = yield from self._use(grant)
                if ended:
                    return
                time.sleep(pause)
                pause = min(LONGEST_PAUSE, pause * 2)
        except Exception:
            log.exception("running request {}", self._request.request_id)
            self._fail()

    def _fail(self) -> None:
        if self._exchange.finished is not None:
            return
        if self._dispatched:
            self._unknown("the node failed while it ran the request")
        else:
            self._refuse(FAILED)

    def _wait_for_slot(self) -> Grant | Refusal:
        request = self._request
        if self._gone.is_set():
            return GONE
        client = self._kernel.find("pools")
        prefix = hash_prefix(request.prompt.prompt) if request.prompt is not None else ()
        waiter = client.ask(
            request.pool.name,
            request.plan.tier,
            request.plan.workspace,
            request.cost,
            prefix,
            request.expires,
        )
        watch = self._kernel.find("hangups").watching(
            None if request.named else self._connection, lambda: client.withdraw(waiter, GONE)
        )
        with watch:
            result = client.wait(waiter)
        metrics = self._kernel.find("metrics")
        label = metrics.label(request.plan.workspace)
        waited = time.monotonic() - request.arrived
        metrics.queue_wait.labels(label, str(request.plan.tier)).observe(waited)
        return result

    def _use(self, grant: Grant) -> Generator[None, None, bool]:
        """Use a slot; returns whether the request has ended."""
        started = time.monotonic()
        used, first, whole, tokens = 0.0, -1.0, False, 0
        try:
            targets = self._kernel.find("targets")
            address = targets.address_of(grant.target, grant.address)
            if address is None:
                targets.tell_keeper(grant.target)
                return False
            claim = self._claim()
            if claim is False:
                return True
            check(not self._dispatched, "at-most-one-dispatch", request=self._request.request_id)
            self._dispatched = True
            if self._request.prompt is None:
                result = self._call(address)
                ended = self._finish_call(result, grant)
                whole = isinstance(result, Answer)
                used, first = self._request.cost, time.monotonic() - started
            else:
                stream = EngineStream(
                    address,
                    uuid.uuid4().hex,
                    self._request.prompt.prompt,
                    self._request.prompt.max_tokens,
                    self._request.expires,
                )
                ended, used, whole = yield from self._relay(stream, address, grant)
                first, tokens = stream.first, stream.tokens
            if not ended and isinstance(claim, Won):
                self._kernel.find("claims").release(self._claim_key(), claim.claim)
            return ended
        finally:
            elapsed = time.monotonic() - started
            self._kernel.find("pools").release(grant, used, first, elapsed, whole, tokens)

    def _claim_key(self) -> str:
        return f"{self._request.plan.workspace}/{self._request.key}"

    def _claim(self) -> Won | None | bool:
        """Return the claim, None where none is needed, or False if the request has ended."""
        if not self._request.key:
            return None
        until = min(self._request.expires, time.monotonic() + CLAIM_TIMEOUT)
        match self._kernel.find("claims").claim(self._claim_key(), until):
            case Won() as won:
                return won
            case Refusal() as refusal:
                self._refuse(refusal)
            case Lost(node):
                self._unknown(f"node {node} has run or is running this idempotency key")
            case Unresolved(reason):
                self._unknown(reason)
        return False

    def _call(self, address: str) -> Answer | NotDispatched | Unknown:
        request = self._request
        headers = {"Request-Id": request.request_id, "Content-Type": request.content_type}
        if request.key:
            headers["Idempotency-Key"] = request.key
        return call_application(
            address, request.method, request.path, request.body, headers, request.expires
        )

    def _finish_call(self, result: Answer | NotDispatched | Unknown, grant: Grant) -> bool:
        match result:
            case NotDispatched():
                self._note_not_dispatched(grant, result)
                return False
            case Unknown(reason):
                self._unknown(reason)
            case Answer(status, headers, body):
                self._complete(Head(status, "complete", headers), body)
        return True

    def _note_not_dispatched(self, grant: Grant, result: NotDispatched) -> None:
        self._dispatched = False
        log.info("not dispatched to {}: {}", grant.target, result.reason)
        targets = self._kernel.find("targets")
        if result.leaving:
            targets.note_leaving(grant.target)
        else:
            targets.note_unreachable(grant.target, AVOID_SECONDS)

    def _relay(
        self, stream: EngineStream, address: str, grant: Grant
    ) -> Generator[None, None, tuple[bool, float, bool]]:
        """Relay a stream; returns whether the request has ended, what it used, and if whole."""
        prompt = self._request.prompt
        assert prompt is not None
        texts: list[str] = []
        with self._watching_for_hangup(stream):
            for item in stream.events():
                match item:
                    case Token(index, text):
                        texts.append(text)
                        if prompt.stream and not self._gone.is_set():
                            self._stream_token(index, text)
                            yield
                        if self._gone.is_set():
                            stream.abort()
                    case Usage() as usage:
                        self._finish_stream(texts, usage)
                        return True, float(usage.prompt - usage.cached + usage.completion), True
                    case Answer():
                        self._finish_call(item, grant)
                        return True, 0.0, True
                    case NotDispatched():
                        self._note_not_dispatched(grant, item)
                        return False, 0.0, False
                    case Unknown(reason):
                        self._unknown("the caller hung up" if self._gone.is_set() else reason)
                        _cancel_later(address, stream.stream_id)
        return True, self._request.cost, False

    def _watching_for_hangup(self, stream: EngineStream) -> AbstractContextManager[None]:
        def leave() -> None:
            self._gone.set()
            stream.abort()

        connection = None if self._request.named else self._connection
        watch: AbstractContextManager[None] = self._kernel.find("hangups").watching(
            connection, leave
        )
        return watch

    def _stream_token(self, index: int, text: str) -> None:
        if self._exchange.head is None:
            self._exchange.begin(Head(200, "stream", (("Content-Type", "text/event-stream"),)))
            self._observe_first()
        event = msgspec.json.encode({"index": index, "text": text})
        self._exchange.add(b"data: " + event + b"\n\n")

    def _finish_stream(self, texts: list[str], usage: Usage) -> None:
        assert self._request.prompt is not None
        text = "".join(texts)
        if not self._request.prompt.stream:
            body = _Text(text, usage.prompt, usage.cached, usage.completion)
            head = Head(200, "complete", (("Content-Type", "application/json"),))
            self._complete(head, msgspec.json.encode(body))
            return
        if self._exchange.head is None:
            self._exchange.begin(Head(200, "stream", (("Content-Type", "text/event-stream"),)))
        self._end_event(_StreamEnd("complete"))
        self._exchange.finish(whole=True)
        self._count("complete")

    def _end_event(self, end: _StreamEnd) -> None:
        self._exchange.add(b"event: outcome\ndata: " + msgspec.json.encode(end) + b"\n\n")

    def _complete(self, head: Head, body: bytes) -> None:
        self._observe_first()
        self._exchange.begin(head)
        self._exchange.add(body)
        self._exchange.finish(whole=True)
        self._count("complete")

    def _refuse(self, refusal: Refusal) -> None:
        check(not self._dispatched, "not-run-is-true", request=self._request.request_id)
        head, body = refusal_head(refusal)
        self._exchange.begin(head)
        self._exchange.add(body)
        self._exchange.finish(whole=True)
        self._count(refusal.kind)

    def _unknown(self, reason: str) -> None:
        log.warning("outcome unknown: {}", reason)
        self._count("unknown")
        if self._exchange.head is not None:
            self._end_event(_StreamEnd("unknown", reason))
            self._exchange.finish(whole=False)
            return
        remedy = "the request may have run; ask the application before sending it anew"
        body = msgspec.json.encode({"error": "unknown", "reason": reason, "remedy": remedy})
        head = Head(502, "unknown", (("Content-Type", "application/json"),))
        self._exchange.begin(head)
        self._exchange.add(body)
        self._exchange.finish(whole=True)

    def _observe_first(self) -> None:
        metrics = self._kernel.find("metrics")
        label = metrics.label(self._request.plan.workspace)
        passed = time.monotonic() - self._request.arrived
        metrics.first_byte.labels(label, str(self._request.plan.tier)).observe(passed)

    def _count(self, outcome: str) -> None:
        metrics = self._kernel.find("metrics")
        label = metrics.label(self._request.plan.workspace)
        tier = str(self._request.plan.tier)
        metrics.answers.labels(label, tier, outcome).inc()
        metrics.whole.labels(label, tier).observe(time.monotonic() - self._request.arrived)
