"""Execution of an admitted request: slot, claim, dispatch, answer."""

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
from celeryrun.kernel import Kernel, check_invariant
from celeryrun.pool._prefix import hash_prefix
from celeryrun.suspicion import request_fingerprint
from celeryrun.wire import Grant

__all__ = ["RequestExecutor", "claim_key", "is_known_not_run"]

AVOID_DURATION = 1.0  # s without new requests for a target that could not be reached
INITIAL_RETRY_DELAY = 0.02  # s until a new slot request after a slot could not be used
MAX_RETRY_DELAY = 0.5  # s
CLAIM_TIMEOUT = 3.0  # s for which a slot is held while its claim is undecided
NODE_FAILED = Refusal(500, "node-failed", "the node failed; retry, and tell your operator", 1.0)
SYNC_TIMEOUT = 1.0  # s to read the claim log to its end before a request with a key is refused
RECOVERY_TIMEOUT = 1.0  # s to wait, without a slot, until the claim log accepts appends
RELEASE_TIMEOUT = 1.0  # s to wait for the release of a claim whose node does not have the answer
LOOKUP_ATTEMPTS = 3
CALLER_GONE = Refusal(499, "caller-gone", "the caller hung up while the request waited")
DEADLINE_PASSED = Refusal(
    504, "deadline", "the deadline passed before the call could go out; retry", 1.0
)
KEY_REUSED = Refusal(
    422,
    "idempotency-key-reused",
    "the key stands for a request with other content; use a new key",
)

log = logbook.Logger("runner")


def _cancel_in_background(address: str, stream_id: str) -> None:
    # In a thread, since an engine that does not respond would delay the caller.
    arguments = (address, stream_id)
    threading.Thread(target=cancel_stream, args=arguments, name="cancel", daemon=True).start()


def claim_key(request: Request) -> str:
    """Return the key of a request in the claim log: its workspace and idempotency key."""
    return f"{request.plan.workspace}/{request.idempotency_key}"


def is_known_not_run(kernel: Kernel, request: Request) -> bool:
    """Return whether no earlier attempt under a request's idempotency key can have run.

    The claim log is read to its end by a read that starts now, after every caller of the request
    has arrived. An older read could miss the claim of an attempt that its caller abandoned.
    """
    if not request.idempotency_key:
        return True
    claims = kernel.find("claims")
    now = time.monotonic()
    if not claims.is_ready() or not claims.sync(now, now + SYNC_TIMEOUT):
        return False
    return claims.held_claim(claim_key(request)) is None


class RequestExecutor:
    """Executor of one request that writes the answer to a buffer.

    Parameters
    ----------
    connection : socket or None
        The caller's connection; a disconnect cancels a request that the caller cannot retry.
    """

    __slots__ = (
        "_buffer",
        "_caller_gone",
        "_connection",
        "_dispatched",
        "_fetched",
        "_fingerprint",
        "_kernel",
        "_other_claim",
        "_request",
        "_target",
        "_won_claim",
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
        self._caller_gone = threading.Event()
        self._dispatched = False
        self._fetched = False
        self._other_claim: HeldClaim | None = None
        self._won_claim: ClaimWon | None = None
        self._writer = AnswerWriter(kernel, request, buffer)
        self._fingerprint = request_fingerprint(request.plan.workspace, request.path, request.body)
        self._target = ""

    def is_answer_kept(self) -> bool:
        """Return whether the finished answer stays in the cache for a retry."""
        may_retry = self._request.has_caller_chosen_id or bool(self._request.idempotency_key)
        return may_retry and (self._dispatched or self._fetched)

    def run(self) -> Generator[None, None, None]:
        """Execute the request to its end; yield whenever the answer has grown.

        Closing the iterator cancels the request, unless it has an idempotency key or a request id
        that the caller chose: the caller may retry such a request to get the answer.
        """
        steps = self._execute()
        try:
            for _ in steps:
                yield
            yield
        except GeneratorExit:
            if not self._request.has_caller_chosen_id and not self._request.idempotency_key:
                self._caller_gone.set()
            for _ in steps:
                pass
            raise

    def _execute(self) -> Generator[None, None, None]:
        retry_delay = INITIAL_RETRY_DELAY
        try:
            if self._request.idempotency_key:
                self._other_claim = self._kernel.find("claims").held_claim(claim_key(self._request))
            elif self._request.has_caller_chosen_id and (yield from self._look_up_answer()):
                return
            while True:
                if self._other_claim is not None:
                    ended = yield from self._fetch_from_claim_holder(self._other_claim)
                else:
                    ended = yield from self._acquire_and_use_slot()
                if ended:
                    return
                if self._other_claim is None:
                    time.sleep(retry_delay)
                    retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)
        except Exception:
            log.exception("request {} failed with an exception", self._request.request_id)
            self._fail()
        finally:
            if self._won_claim is not None and not self._won_claim.dispatched:
                self._kernel.find("claims").release(self._won_claim)

    def _acquire_and_use_slot(self) -> Generator[None, None, bool]:
        """Acquire a slot and use it; return whether the request has ended."""
        grant = self._acquire_slot() if self._wait_until_can_claim() else LOG_UNAVAILABLE
        if isinstance(grant, Refusal):
            return self._refuse(grant)
        return (yield from self._use_slot(grant))

    def _fail(self) -> None:
        if self._writer.is_finished:
            return
        if self._dispatched or not self._refuse(NODE_FAILED):
            self._writer.write_unknown("the node failed while it ran the request")

    def _look_up_answer(self) -> Generator[None, None, bool]:
        """Fetch the answer from the node that stores it; return whether the request has ended."""
        request, own_name = self._request, self._kernel.find("peers").name
        answers = self._kernel.find("answers")
        excluded_node = ""
        for _ in range(LOOKUP_ATTEMPTS):
            node = answers.find_node(request.plan.workspace, request.answer_id, excluded_node)
            if node in (own_name, excluded_node):
                return False
            match (yield from self._fetch(node)):
                case FetchResult.NOT_FOUND | FetchResult.NO_REPLY:
                    excluded_node = node
                case fetched:
                    return self._finish_fetched(fetched)
        return False

    def _fetch_from_claim_holder(self, other_claim: HeldClaim) -> Generator[None, None, bool]:
        """Fetch the answer from the node that holds the claim; return whether the request ended."""
        self._other_claim = None
        claims = self._kernel.find("claims")
        fetched = FetchResult.NOT_FOUND
        if digest_from_claim_id(other_claim.claim_id) != self._request.digest:
            self._finish_not_run(KEY_REUSED)
            return True
        if other_claim.node != self._kernel.find("peers").name:
            fetched = yield from self._fetch(other_claim.node)
        if fetched is not FetchResult.NOT_FOUND:
            return self._finish_fetched(fetched)
        deadline = min(self._request.deadline, time.monotonic() + RELEASE_TIMEOUT)
        if claims.wait_until_released(claim_key(self._request), other_claim, deadline):
            self._other_claim = claims.held_claim(claim_key(self._request))
            return False
        self._writer.write_unknown(
            f"node {other_claim.node} has run or may have run this idempotency key"
        )
        return True

    def _fetch(self, node: str) -> Generator[None, None, FetchResult]:
        answers = self._kernel.find("answers")
        member = self._kernel.find("members").by_name.get(node)
        if member is None or member.state == "dead":
            return FetchResult.NO_REPLY
        for fetched in answers.fetch(node, self._request, self._buffer, self._request.deadline):
            if fetched is not None:
                return fetched
            yield
        return FetchResult.NO_REPLY

    def _finish_fetched(self, fetched: FetchResult) -> bool:
        match fetched:
            case FetchResult.FINISHED:
                assert self._buffer.head is not None
                self._fetched = self._buffer.head.outcome in ("complete", "stream")
                self._writer.count_outcome("fetched")
            case _:
                self._writer.write_unknown("the node that has this request does not answer")
        return True

    def _acquire_slot(self) -> Grant | Refusal:
        request = self._request
        if self._caller_gone.is_set():
            return CALLER_GONE
        client = self._kernel.find("pools")
        suspicion = self._kernel.find("suspicion")
        prefix = hash_prefix(request.generation.prompt) if request.generation is not None else ()
        pending_request = client.request_slot(
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
            lambda: client.cancel(pending_request, CALLER_GONE),
        )
        with watch:
            result = client.wait(pending_request)
        self._writer.observe_queue_wait()
        suspect: Refusal | None = suspicion.refusal(self._fingerprint)
        if suspect is not None and isinstance(result, Grant):
            client.release(result, 0.0, -1.0, 0.0, True)
            return suspect
        return result

    def _use_slot(self, grant: Grant) -> Generator[None, None, bool]:
        """Use a slot; return whether the request has ended."""
        started = time.monotonic()
        work, first_byte_delay, complete, tokens = 0.0, -1.0, False, 0
        try:
            targets = self._kernel.find("targets")
            address = targets.address_of(grant.target, grant.address)
            if address is None:
                targets.report_leaving(grant.target)
                return False
            if self._request.idempotency_key and self._won_claim is None:
                ended = self._claim()
                if self._won_claim is None:
                    return ended
            if time.monotonic() >= self._request.deadline:
                return self._refuse(DEADLINE_PASSED)
            check_invariant(
                not self._dispatched, "at-most-one-dispatch", request=self._request.request_id
            )
            self._target = grant.target
            self._dispatched = True
            if self._request.generation is None:
                result = self._call_application(address)
                ended = self._handle_result(result, grant)
                complete = isinstance(result, ApplicationResponse)
                work, first_byte_delay = self._request.cost, time.monotonic() - started
            else:
                stream = EngineStream(
                    address,
                    uuid.uuid4().hex,
                    self._request.generation.prompt,
                    self._request.generation.max_tokens,
                    self._request.deadline,
                )
                ended, work, complete = yield from self._relay_stream(stream, address, grant)
                first_byte_delay, tokens = stream.time_to_first_token, stream.token_count
            return ended
        finally:
            elapsed = time.monotonic() - started
            self._kernel.find("pools").release(
                grant, work, first_byte_delay, elapsed, complete, tokens
            )

    def _wait_until_can_claim(self) -> bool:
        # Before a slot is acquired, so that a log outage does not tie up slots.
        needs_claim = bool(self._request.idempotency_key) and self._won_claim is None
        deadline = min(self._request.deadline, time.monotonic() + RECOVERY_TIMEOUT)
        return not needs_claim or self._kernel.find("claims").wait_until_can_claim(deadline)

    def _claim(self) -> bool:
        """Claim the idempotency key; return whether the request has ended."""
        deadline = min(self._request.deadline, time.monotonic() + CLAIM_TIMEOUT)
        claims = self._kernel.find("claims")
        match claims.claim(claim_key(self._request), self._request.digest, deadline):
            case ClaimWon() as won_claim:
                self._won_claim = won_claim
            case ClaimLost(held_claim):
                self._other_claim = held_claim
            case Refusal() as refusal:
                return self._refuse(refusal)
            case ClaimUnresolved(reason):
                self._writer.write_unknown(reason)
                return True
        return False

    def _call_application(
        self, address: str
    ) -> ApplicationResponse | NotDispatched | UnknownOutcome:
        request = self._request
        headers = {"Request-Id": request.request_id, "Content-Type": request.content_type}
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        if self._won_claim is not None:
            self._kernel.find("claims").begin_dispatch(self._won_claim)
        return call_application(
            address, request.method, request.path, request.body, headers, request.deadline
        )

    def _handle_result(
        self, result: ApplicationResponse | NotDispatched | UnknownOutcome, grant: Grant
    ) -> bool:
        match result:
            case NotDispatched():
                self._on_not_dispatched(grant, result)
                return False
            case UnknownOutcome(reason, target_crashed):
                self._report_crash(target_crashed)
                self._writer.write_unknown(reason)
            case ApplicationResponse(status, headers, body):
                self._writer.write_complete(AnswerHead(status, "complete", headers), body)
                self._clear_suspicion()
        return True

    def _report_crash(self, target_crashed: bool) -> None:
        if target_crashed:
            suspicion = self._kernel.find("suspicion")
            suspicion.report_crash(self._request.pool.name, self._target, self._fingerprint)

    def _on_not_dispatched(self, grant: Grant, result: NotDispatched) -> None:
        self._dispatched = False
        if self._won_claim is not None:
            self._won_claim.dispatched = False
        log.info("request not dispatched to target {}: {}", grant.target, result.reason)
        targets = self._kernel.find("targets")
        if result.leaving:
            targets.note_leaving(grant.target)
        else:
            targets.note_unreachable(grant.target, AVOID_DURATION)

    def _relay_stream(
        self, stream: EngineStream, address: str, grant: Grant
    ) -> Generator[None, None, tuple[bool, float, bool]]:
        """Relay an engine's stream to the buffer.

        Returns
        -------
        tuple of (bool, float, bool)
            Whether the request has ended, the work done in tokens, and whether the response is
            complete.
        """
        generation = self._request.generation
        assert generation is not None
        texts: list[str] = []
        with self._watch_for_disconnect(stream):
            for item in stream.events():
                match item:
                    case Token(index, text):
                        check_invariant(
                            index == len(texts), "tokens-once-and-in-order", index=index
                        )
                        texts.append(text)
                        if generation.stream and not self._caller_gone.is_set():
                            self._writer.write_token(index, text)
                            yield
                        if self._caller_gone.is_set():
                            stream.abort()
                    case Usage() as usage:
                        self._finish_stream(texts, usage)
                        return True, float(usage.prompt - usage.cached + usage.completion), True
                    case ApplicationResponse():
                        self._handle_result(item, grant)
                        return True, 0.0, True
                    case NotDispatched():
                        self._on_not_dispatched(grant, item)
                        return False, 0.0, False
                    case UnknownOutcome(reason, target_crashed):
                        self._report_crash(target_crashed)
                        self._writer.write_unknown(
                            "the caller hung up" if self._caller_gone.is_set() else reason
                        )
                        _cancel_in_background(address, stream.stream_id)
        return True, self._request.cost, False

    def _watch_for_disconnect(self, stream: EngineStream) -> AbstractContextManager[None]:
        def on_disconnect() -> None:
            self._caller_gone.set()
            stream.abort()

        connection = None if self._request.has_caller_chosen_id else self._connection
        watch: AbstractContextManager[None] = self._kernel.find("disconnect_watcher").watching(
            connection, on_disconnect
        )
        return watch

    def _finish_stream(self, texts: list[str], usage: Usage) -> None:
        assert self._request.generation is not None
        if self._request.generation.stream:
            self._writer.end_stream()
        else:
            self._writer.write_generated_text(texts, usage)
        self._clear_suspicion()

    def _clear_suspicion(self) -> None:
        self._kernel.find("suspicion").on_completed(self._request.pool.name, self._fingerprint)

    def _refuse(self, refusal: Refusal) -> bool:
        """Refuse the request unless its key is claimed; return whether the request has ended."""
        if self._won_claim is None and refusal is not KEY_TOO_OLD:
            certainly_not_run = is_known_not_run(self._kernel, self._request)
            if self._request.idempotency_key:
                self._other_claim = self._kernel.find("claims").held_claim(claim_key(self._request))
            if self._other_claim is not None:
                return False
            if not certainly_not_run:
                self._writer.write_refusal_with_unknown_outcome(refusal)
                return True
        self._finish_not_run(refusal)
        return True

    def _finish_not_run(self, refusal: Refusal) -> None:
        claim_unused = self._won_claim is None or not self._won_claim.dispatched
        is_true = claim_unused and not self._dispatched
        check_invariant(is_true, "not-run-is-true", request=self._request.request_id)
        self._writer.write_not_run(refusal)
