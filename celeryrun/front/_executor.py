"""One admitted request, run straight down: slot, claim, dispatch, answer."""

from __future__ import annotations

import socket
import threading
import time
import uuid
from collections.abc import Generator
from contextlib import AbstractContextManager

import logbook

from celeryrun.answers import FetchResult
from celeryrun.claims import (
    KEY_TOO_OLD,
    LOG_UNAVAILABLE,
    ClaimLost,
    ClaimUnresolved,
    ClaimWon,
    HeldClaim,
    digest_from_claim_id,
)
from celeryrun.dispatch import (
    ApplicationResponse,
    EngineStream,
    NotDispatched,
    Token,
    UnknownOutcome,
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
from celeryrun.suspicion import request_fingerprint
from celeryrun.wire import Grant

__all__ = ["RequestExecutor", "claim_key", "is_known_unrun"]

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
    return f"{request.plan.workspace}/{request.key}"


def is_known_unrun(kernel: Kernel, request: Request) -> bool:
    """Tell whether no earlier attempt under a request's key can have run.

    The log must be read to its end by a read that begins now, after every caller of this request
    has arrived: only then would the claim of an attempt that its caller has given up on be seen.
    """
    if not request.key:
        return True
    claims = kernel.find("claims")
    now = time.monotonic()
    if not claims.is_ready() or not claims.sync(now, now + SYNC_TIMEOUT):
        return False
    return claims.held_claim(claim_key(request)) is None


class RequestExecutor:
    """Runs one request and writes its answer to an exchange.

    Parameters
    ----------
    connection : socket or None
        The caller's connection, watched while the request waits.
    """

    __slots__ = (
        "_connection",
        "_dispatched",
        "_exchange",
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
        exchange: AnswerBuffer,
        connection: socket.socket | None,
    ) -> None:
        self._kernel = kernel
        self._request = request
        self._exchange = exchange
        self._connection = connection
        self._gone = threading.Event()
        self._dispatched = False
        self._fetched = False
        self._held: HeldClaim | None = None
        self._won: ClaimWon | None = None
        self._writer = AnswerWriter(kernel, request, exchange)
        self._fingerprint = request_fingerprint(request.plan.workspace, request.path, request.body)
        self._target = ""

    def is_kept(self) -> bool:
        """Tell whether the ended answer is kept for a caller that comes back."""
        may_come_back = self._request.named or bool(self._request.key)
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
            if not self._request.named and not self._request.key:
                self._gone.set()
            for _ in steps:
                pass
            raise

    def _steps(self) -> Generator[None, None, None]:
        pause = FIRST_PAUSE
        try:
            if self._request.key:
                self._held = self._kernel.find("claims").held_claim(claim_key(self._request))
            elif self._request.named and (yield from self._find_answer()):
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
        grant = self._wait_for_slot() if self._may_claim() else LOG_UNAVAILABLE
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
            node = answers.find_node(request.plan.workspace, request.answer_id, wrong)
            if node in (me, wrong):
                return False
            match (yield from self._fetch(node)):
                case FetchResult.NOT_FOUND | FetchResult.NO_REPLY:
                    wrong = node
                case fetched:
                    return self._end_fetched(fetched)
        return False

    def _meet(self, held: HeldClaim) -> Generator[None, None, bool]:
        """Fetch the answer of the claim that was first; returns whether the request has ended."""
        self._held = None
        claims = self._kernel.find("claims")
        fetched = FetchResult.NOT_FOUND
        if digest_from_claim_id(held.claim_id) != self._request.digest:
            self._tell_not_run(REUSED)
            return True
        if held.node != self._kernel.find("peers").name:
            fetched = yield from self._fetch(held.node)
        if fetched is not FetchResult.NOT_FOUND:
            return self._end_fetched(fetched)
        until = min(self._request.expires, time.monotonic() + RELEASE_TIMEOUT)
        if claims.wait_until_released(claim_key(self._request), held, until):
            self._held = claims.held_claim(claim_key(self._request))
            return False
        self._writer.unknown(f"node {held.node} has run or may have run this idempotency key")
        return True

    def _fetch(self, node: str) -> Generator[None, None, FetchResult]:
        answers = self._kernel.find("answers")
        member = self._kernel.find("members").by_name.get(node)
        if member is None or member.state == "dead":
            return FetchResult.NO_REPLY
        for fetched in answers.fetch(node, self._request, self._exchange, self._request.expires):
            if fetched is not None:
                return fetched
            yield
        return FetchResult.NO_REPLY

    def _end_fetched(self, fetched: FetchResult) -> bool:
        match fetched:
            case FetchResult.FINISHED:
                assert self._exchange.head is not None
                self._fetched = self._exchange.head.outcome in ("complete", "stream")
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
        prefix = hash_prefix(request.prompt.prompt) if request.prompt is not None else ()
        waiter = client.request_slot(
            request.pool.name,
            request.plan.tier,
            request.plan.workspace,
            request.cost,
            prefix,
            request.expires,
            self._fingerprint,
        )
        watch = self._kernel.find("disconnect_watcher").watching(
            None if request.named else self._connection, lambda: client.cancel(waiter, GONE)
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
                targets.report_leaving(grant.target)
                return False
            if self._request.key and self._won is None:
                ended = self._claim()
                if self._won is None:
                    return ended
            if time.monotonic() >= self._request.expires:
                return self._refuse(LATE)
            check(not self._dispatched, "at-most-one-dispatch", request=self._request.request_id)
            self._target = grant.target
            self._dispatched = True
            if self._request.prompt is None:
                result = self._call(address)
                ended = self._finish_call(result, grant)
                whole = isinstance(result, ApplicationResponse)
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
                first, tokens = stream.time_to_first_token, stream.token_count
            return ended
        finally:
            elapsed = time.monotonic() - started
            self._kernel.find("pools").release(grant, used, first, elapsed, whole, tokens)

    def _may_claim(self) -> bool:
        # Without a slot: a log that is down must not cost the other work its slots.
        needs_claim = bool(self._request.key) and self._won is None
        until = min(self._request.expires, time.monotonic() + RECOVERY_TIMEOUT)
        return not needs_claim or self._kernel.find("claims").wait_until_can_claim(until)

    def _claim(self) -> bool:
        """Claim the key; returns whether the request has ended."""
        until = min(self._request.expires, time.monotonic() + CLAIM_TIMEOUT)
        claims = self._kernel.find("claims")
        match claims.claim(claim_key(self._request), self._request.digest, until):
            case ClaimWon() as won:
                self._won = won
            case ClaimLost(held):
                self._held = held
            case Refusal() as refusal:
                return self._refuse(refusal)
            case ClaimUnresolved(reason):
                self._writer.unknown(reason)
                return True
        return False

    def _call(self, address: str) -> ApplicationResponse | NotDispatched | UnknownOutcome:
        request = self._request
        headers = {"Request-Id": request.request_id, "Content-Type": request.content_type}
        if request.key:
            headers["Idempotency-Key"] = request.key
        if self._won is not None:
            self._kernel.find("claims").begin_dispatch(self._won)
        return call_application(
            address, request.method, request.path, request.body, headers, request.expires
        )

    def _finish_call(
        self, result: ApplicationResponse | NotDispatched | UnknownOutcome, grant: Grant
    ) -> bool:
        match result:
            case NotDispatched():
                self._note_not_dispatched(grant, result)
                return False
            case UnknownOutcome(reason, target_crashed):
                self._note_death(target_crashed)
                self._writer.unknown(reason)
            case ApplicationResponse(status, headers, body):
                self._writer.complete(AnswerHead(status, "complete", headers), body)
                self._clear_suspicion()
        return True

    def _note_death(self, target_crashed: bool) -> None:
        if target_crashed:
            suspicion = self._kernel.find("suspicion")
            suspicion.report_crash(self._request.pool.name, self._target, self._fingerprint)

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
        prompt = self._request.prompt
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
                    case ApplicationResponse():
                        self._finish_call(item, grant)
                        return True, 0.0, True
                    case NotDispatched():
                        self._note_not_dispatched(grant, item)
                        return False, 0.0, False
                    case UnknownOutcome(reason, target_crashed):
                        self._note_death(target_crashed)
                        self._writer.unknown(
                            "the caller hung up" if self._gone.is_set() else reason
                        )
                        _cancel_later(address, stream.stream_id)
        return True, self._request.cost, False

    def _watching_for_hangup(self, stream: EngineStream) -> AbstractContextManager[None]:
        def leave() -> None:
            self._gone.set()
            stream.abort()

        connection = None if self._request.named else self._connection
        watch: AbstractContextManager[None] = self._kernel.find("disconnect_watcher").watching(
            connection, leave
        )
        return watch

    def _finish_stream(self, texts: list[str], usage: Usage) -> None:
        assert self._request.prompt is not None
        if self._request.prompt.stream:
            self._writer.end_stream()
        else:
            self._writer.text(texts, usage)
        self._clear_suspicion()

    def _clear_suspicion(self) -> None:
        self._kernel.find("suspicion").on_completed(self._request.pool.name, self._fingerprint)

    def _refuse(self, refusal: Refusal) -> bool:
        """End with a refusal, unless the key turns out to be held; returns whether it has ended."""
        if self._won is None and refusal is not KEY_TOO_OLD:
            known = is_known_unrun(self._kernel, self._request)
            if self._request.key:
                self._held = self._kernel.find("claims").held_claim(claim_key(self._request))
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
