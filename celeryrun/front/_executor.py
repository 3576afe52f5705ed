"""One admitted request, run straight down: slot, claim, dispatch, answer."""

from __future__ import annotations

import socket
import threading
import time
import uuid
from collections.abc import Generator
from contextlib import AbstractContextManager

import logbook

from celeryrun.answers import Fetched
from celeryrun.claims import TOO_OLD, UNAVAILABLE, Held, Lost, Unresolved, Won, digest_of
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
from celeryrun.front._answer_cache import AnswerBuffer, AnswerHead
from celeryrun.front._request import Request
from celeryrun.front._writer import AnswerWriter
from celeryrun.kernel import Kernel, check
from celeryrun.pool._prefix import hash_prefix
from celeryrun.suspicion import hash_request
from celeryrun.wire import Grant

__all__ = ["RequestExecutor", "claim_key", "is_known_not_run"]

AVOID_SECONDS = 1.0
FIRST_PAUSE = 0.02  # s before a slot is asked for anew, when one could not be used
LONGEST_PAUSE = 0.5  # s
CLAIM_TIMEOUT = 3.0  # s that a slot is held while a claim is not resolved
FAILED = Refusal(500, "node-failed", "the node failed; retry, and tell your operator", 1.0)
SYNC_TIMEOUT = 1.0  # s for reading the log to its end before "not run" is said of a key
RECOVERY_TIMEOUT = 1.0  # s that a booking waits without a slot for appends to succeed again
RELEASE_TIMEOUT = 1.0  # s for a claim whose node does not have the answer to be released
FIND_ATTEMPTS = 3
GONE = Refusal(499, "caller-gone", "the caller hung up while the request waited")
LATE = Refusal(504, "deadline", "the deadline passed before the call could go out; retry", 1.0)
REUSED = Refusal(
    422,
    "idempotency-key-reused",
    "the key stands for a request with other content; use a new key",
)

log = logbook.Logger("runner")


def _cancel_later(address: str, stream_id: str) -> None:
    # The caller must not wait for an engine that may be silent.
    arguments = (address, stream_id)
    threading.Thread(target=cancel_stream, args=arguments, name="cancel", daemon=True).start()


def claim_key(request: Request) -> str:
    """Return the name under which a request's idempotency key is claimed."""
    return f"{request.plan.workspace}/{request.idempotency_key}"


def is_known_not_run(kernel: Kernel, request: Request) -> bool:
    """Tell whether no earlier attempt under a request's key can have run.

    The log must be read to its end by a read that begins now, after every caller of this request
    has arrived: only then would the claim of an attempt that its caller has given up on be seen.
    """
    if not request.idempotency_key:
        return True
    claims = kernel.find("claims")
    now = time.monotonic()
    if not claims.is_ready() or not claims.sync(now, now + SYNC_TIMEOUT):
        return False
    return claims.holder(claim_key(request)) is None


class RequestExecutor:
    """Runs one request and writes its answer to a buffer.

    Parameters
    ----------
    connection : socket or None
        The caller's connection, watched while the request waits.
    """

    __slots__ = (
        "_connection",
        "_dispatched",
        "_buffer",
        "_fetched",
        "_fingerprint",
        "_gone",
        "_held",
        "_kernel",
        "_request",
        "_target",
        "_won",
        "_writer",
    )

    def __init__(
        self,
        kernel: Kernel,
        request: Request,
        buffer: AnswerBuffer,
        connection: socket.socket | None,
    ) -> None:
        self._kernel = kernel
        self._request = request
        self._buffer = buffer
        self._connection = connection
        self._gone = threading.Event()
        self._dispatched = False
        self._fetched = False
        self._held: Held | None = None
        self._won: Won | None = None
        self._writer = AnswerWriter(kernel, request, buffer)
        self._fingerprint = hash_request(request.plan.workspace, request.path, request.body)
        self._target = ""

    def is_kept(self) -> bool:
        """Tell whether the ended answer is kept for a caller that comes back."""
        may_come_back = self._request.has_caller_chosen_id or bool(self._request.idempotency_key)
        return may_come_back and (self._dispatched or self._fetched)

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
            if not self._request.has_caller_chosen_id and not self._request.idempotency_key:
                self._gone.set()
            for _ in steps:
                pass
            raise

    def _steps(self) -> Generator[None, None, None]:
        pause = FIRST_PAUSE
        try:
            if self._request.idempotency_key:
                self._held = self._kernel.find("claims").holder(claim_key(self._request))
            elif self._request.has_caller_chosen_id and (yield from self._find_answer()):
                return
            while True:
                if self._held is not None:
                    ended = yield from self._meet(self._held)
                else:
                    ended = yield from self._take_turn()
                if ended:
                    return
                if self._held is None:
                    time.sleep(pause)
                    pause = min(LONGEST_PAUSE, pause * 2)
        except Exception:
            log.exception("running request {}", self._request.request_id)
            self._fail()
        finally:
            if self._won is not None and not self._won.dispatched:
                self._kernel.find("claims").release(self._won)

    def _take_turn(self) -> Generator[None, None, bool]:
        """Wait for a slot and use it; returns whether the request has ended."""
        grant = self._wait_for_slot() if self._may_claim() else UNAVAILABLE
        if isinstance(grant, Refusal):
            return self._refuse(grant)
        return (yield from self._use(grant))

    def _fail(self) -> None:
        if self._writer.is_finished:
            return
        if self._dispatched or not self._refuse(FAILED):
            self._writer.unknown("the node failed while it ran the request")

    def _find_answer(self) -> Generator[None, None, bool]:
        """Fetch the answer from the node that has it; returns whether the request has ended."""
        request, me = self._request, self._kernel.find("peers").name
        answers = self._kernel.find("answers")
        wrong = ""
        for _ in range(FIND_ATTEMPTS):
            node = answers.find(request.plan.workspace, request.answer_id, wrong)
            if node in (me, wrong):
                return False
            match (yield from self._fetch(node)):
                case Fetched.GONE | Fetched.SILENT:
                    wrong = node
                case fetched:
                    return self._end_fetched(fetched)
        return False

    def _meet(self, held: Held) -> Generator[None, None, bool]:
        """Fetch the answer of the claim that was first; returns whether the request has ended."""
        self._held = None
        claims = self._kernel.find("claims")
        fetched = Fetched.GONE
        if digest_of(held.claim) != self._request.digest:
            self._tell_not_run(REUSED)
            return True
        if held.node != self._kernel.find("peers").name:
            fetched = yield from self._fetch(held.node)
        if fetched is not Fetched.GONE:
            return self._end_fetched(fetched)
        until = min(self._request.deadline, time.monotonic() + RELEASE_TIMEOUT)
        if claims.wait_released(claim_key(self._request), held, until):
            self._held = claims.holder(claim_key(self._request))
            return False
        self._writer.unknown(f"node {held.node} has run or may have run this idempotency key")
        return True

    def _fetch(self, node: str) -> Generator[None, None, Fetched]:
        answers = self._kernel.find("answers")
        member = self._kernel.find("members").by_name.get(node)
        if member is None or member.state == "dead":
            return Fetched.SILENT
        for fetched in answers.fetch(node, self._request, self._buffer, self._request.deadline):
            if fetched is not None:
                return fetched
            yield
        return Fetched.SILENT

    def _end_fetched(self, fetched: Fetched) -> bool:
        match fetched:
            case Fetched.FINISHED:
                assert self._buffer.head is not None
                self._fetched = self._buffer.head.outcome in ("complete", "stream")
                self._writer.count("fetched")
            case _:
                self._writer.unknown("the node that has this request does not answer")
        return True

    def _wait_for_slot(self) -> Grant | Refusal:
        request = self._request
        if self._gone.is_set():
            return GONE
        client = self._kernel.find("pools")
        suspicion = self._kernel.find("suspicion")
        prefix = hash_prefix(request.generation.prompt) if request.generation is not None else ()
        waiter = client.ask(
            request.pool.name,
            request.plan.tier,
            request.plan.workspace,
            request.cost,
            prefix,
            request.deadline,
            self._fingerprint,
        )
        watch = self._kernel.find("disconnect_watcher").watching(
            None if request.has_caller_chosen_id else self._connection,
            lambda: client.withdraw(waiter, GONE),
        )
        with watch:
            result = client.wait(waiter)
        self._writer.observe_wait()
        suspect: Refusal | None = suspicion.refusal(self._fingerprint)
        if suspect is not None and isinstance(result, Grant):
            client.release(result, 0.0, -1.0, 0.0, True)
            return suspect
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
            if self._request.idempotency_key and self._won is None:
                ended = self._claim()
                if self._won is None:
                    return ended
            if time.monotonic() >= self._request.deadline:
                return self._refuse(LATE)
            check(not self._dispatched, "at-most-one-dispatch", request=self._request.request_id)
            self._target = grant.target
            self._dispatched = True
            if self._request.generation is None:
                result = self._call(address)
                ended = self._finish_call(result, grant)
                whole = isinstance(result, Answer)
                used, first = self._request.cost, time.monotonic() - started
            else:
                stream = EngineStream(
                    address,
                    uuid.uuid4().hex,
                    self._request.generation.prompt,
                    self._request.generation.max_tokens,
                    self._request.deadline,
                )
                ended, used, whole = yield from self._relay(stream, address, grant)
                first, tokens = stream.first, stream.tokens
            return ended
        finally:
            elapsed = time.monotonic() - started
            self._kernel.find("pools").release(grant, used, first, elapsed, whole, tokens)

    def _may_claim(self) -> bool:
        # Without a slot: a log that is down must not cost the other work its slots.
        needs_claim = bool(self._request.idempotency_key) and self._won is None
        until = min(self._request.deadline, time.monotonic() + RECOVERY_TIMEOUT)
        return not needs_claim or self._kernel.find("claims").wait_until_can_claim(until)

    def _claim(self) -> bool:
        """Claim the key; returns whether the request has ended."""
        until = min(self._request.deadline, time.monotonic() + CLAIM_TIMEOUT)
        claims = self._kernel.find("claims")
        match claims.claim(claim_key(self._request), self._request.digest, until):
            case Won() as won:
                self._won = won
            case Lost(held):
                self._held = held
            case Refusal() as refusal:
                return self._refuse(refusal)
            case Unresolved(reason):
                self._writer.unknown(reason)
                return True
        return False

    def _call(self, address: str) -> Answer | NotDispatched | Unknown:
        request = self._request
        headers = {"Request-Id": request.request_id, "Content-Type": request.content_type}
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        if self._won is not None:
            self._kernel.find("claims").begin_dispatch(self._won)
        return call_application(
            address, request.method, request.path, request.body, headers, request.deadline
        )

    def _finish_call(self, result: Answer | NotDispatched | Unknown, grant: Grant) -> bool:
        match result:
            case NotDispatched():
                self._note_not_dispatched(grant, result)
                return False
            case Unknown(reason, target_died):
                self._note_death(target_died)
                self._writer.unknown(reason)
            case Answer(status, headers, body):
                self._writer.complete(AnswerHead(status, "complete", headers), body)
                self._clear_suspicion()
        return True

    def _note_death(self, target_died: bool) -> None:
        if target_died:
            suspicion = self._kernel.find("suspicion")
            suspicion.report(self._request.pool.name, self._target, self._fingerprint)

    def _note_not_dispatched(self, grant: Grant, result: NotDispatched) -> None:
        self._dispatched = False
        if self._won is not None:
            self._won.dispatched = False
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
        prompt = self._request.generation
        assert prompt is not None
        texts: list[str] = []
        with self._watching_for_hangup(stream):
            for item in stream.events():
                match item:
                    case Token(index, text):
                        check(index == len(texts), "tokens-once-and-in-order", index=index)
                        texts.append(text)
                        if prompt.stream and not self._gone.is_set():
                            self._writer.token(index, text)
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
                    case Unknown(reason, target_died):
                        self._note_death(target_died)
                        self._writer.unknown(
                            "the caller hung up" if self._gone.is_set() else reason
                        )
                        _cancel_later(address, stream.stream_id)
        return True, self._request.cost, False

    def _watching_for_hangup(self, stream: EngineStream) -> AbstractContextManager[None]:
        def leave() -> None:
            self._gone.set()
            stream.abort()

        connection = None if self._request.has_caller_chosen_id else self._connection
        watch: AbstractContextManager[None] = self._kernel.find("disconnect_watcher").watching(
            connection, leave
        )
        return watch

    def _finish_stream(self, texts: list[str], usage: Usage) -> None:
        assert self._request.generation is not None
        if self._request.generation.stream:
            self._writer.end_stream()
        else:
            self._writer.text(texts, usage)
        self._clear_suspicion()

    def _clear_suspicion(self) -> None:
        self._kernel.find("suspicion").clear(self._request.pool.name, self._fingerprint)

    def _refuse(self, refusal: Refusal) -> bool:
        """End with a refusal, unless the key turns out to be held; returns whether it has ended."""
        if self._won is None and refusal is not TOO_OLD:
            known = is_known_not_run(self._kernel, self._request)
            if self._request.idempotency_key:
                self._held = self._kernel.find("claims").holder(claim_key(self._request))
            if self._held is not None:
                return False
            if not known:
                self._writer.refused_but_unknown(refusal)
                return True
        self._tell_not_run(refusal)
        return True

    def _tell_not_run(self, refusal: Refusal) -> None:
        unused = self._won is None or not self._won.dispatched
        is_true = unused and not self._dispatched
        check(is_true, "not-run-is-true", request=self._request.request_id)
        self._writer.not_run(refusal)
