"""HTTP listener for callers."""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import cheroot.wsgi
import logbook

from celeryrun.claims import key_age
from celeryrun.exception import ListenError, Refusal
from celeryrun.front._answer_cache import AnswerBuffer, AnswerCache, AnswerHead
from celeryrun.front._executor import RequestExecutor, is_known_not_run
from celeryrun.front._request import Request, admit
from celeryrun.front._server import Server
from celeryrun.front._writer import refusal_head
from celeryrun.kernel import Kernel
from celeryrun.observe import request_context
from celeryrun.settings import Address, Settings

__all__ = ["CallerListener", "serve"]

THREAD_STACK_BYTES = 256 * 1024
ACCEPT_QUEUE = 512
BODILESS_STATUSES = (204, 304)
KEEP_ALIVE_TIMEOUT = 60  # s until an idle connection is closed
MIN_SPARE_THREADS = 4
SPARE_THREADS_DIVISOR = 10  # one in this many threads is reserved for refusals
NO_CONFIGURATION = Refusal(
    503, "no-configuration", "this node has no configuration yet; retry, another node has", 1.0
)
NODE_FULL = Refusal(
    503,
    "node-full",
    "this node has no thread free; retry, another node will take it",
    1.0,
)
SOCKET_KEY = "celeryrun.socket"

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

log = logbook.Logger("front")


class _Gateway(cheroot.wsgi.Gateway_10):
    """WSGI gateway that adds the caller's socket to the environment."""

    def get_environ(self) -> Any:
        environ: Any = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ


def serve(address: Address, key: str, app: Any, threads: int, timeout: int) -> Server:
    """Start a WSGI server and return it.

    Parameters
    ----------
    key : str
        Key of the address in the section ``[node]`` of the settings.
    threads : int
        Fixed number of worker threads.
    timeout : int
        Socket timeout in seconds, after which an idle connection is closed.

    Raises
    ------
    ListenError
        If the address can't be listened on.
    """
    server = Server(
        (address.host, address.port),
        app,
        numthreads=threads,
        max=threads,
        request_queue_size=ACCEPT_QUEUE,
        timeout=timeout,
        server_name="celeryrun",
    )
    server.gateway = _Gateway
    server.shutdown_timeout = 1
    try:
        server.prepare()
    except OSError as error:
        server.stop()
        raise ListenError(str(address), key, str(error)) from error
    threading.Thread(target=server.serve, name="accept", daemon=True).start()
    return server


class CallerListener:
    """Service that accepts callers' requests over HTTP.

    Attributes
    ----------
    answers : AnswerCache
        Running and finished answers, for retries.
    draining : bool
        Whether the node reports not-ready and asks callers to close their connections.
    """

    __slots__ = ("_active", "_kernel", "_lock", "_server", "_settings", "answers", "draining")

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._lock = threading.Lock()
        self._active = 0
        self._server: Any = None
        self.answers = AnswerCache.from_config(settings.limits)
        self.draining = False

    @classmethod
    def from_config(cls, kernel: Kernel, settings: Settings) -> CallerListener:
        """Build the service from settings."""
        return cls(kernel, settings)

    @property
    def active(self) -> int:
        """Number of requests accepted and not yet answered."""
        return self._active

    def start(self) -> None:
        """Start listening for callers."""
        threading.stack_size(THREAD_STACK_BYTES)
        node = self._settings.node
        self._server = serve(
            node.caller_address, "caller_address", self._app, node.threads, KEEP_ALIVE_TIMEOUT
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def drain(self) -> None:
        """Report not-ready and ask callers to close connections; requests are still accepted."""
        self.draining = True
        if self._server is not None:
            self._server.draining = True

    def finish(self) -> None:
        """Stop listening and wait until every accepted request is answered."""
        if self._server is not None:
            self._server.finish(lambda: self._active == 0)

    def _app(self, environ: dict[str, Any], start_response: StartResponse) -> Iterator[bytes]:
        with self._lock:
            self._active += 1
        try:
            for chunk in self._handle(environ, start_response):
                yield b"" if environ["REQUEST_METHOD"] == "HEAD" else chunk
        finally:
            with self._lock:
                self._active -= 1

    def _handle(self, environ: dict[str, Any], start_response: StartResponse) -> Iterator[bytes]:
        configuration = self._kernel.find("configuration").current
        claims = self._kernel.find("claims")
        max_key_age, now = claims.table.window, claims.log_time()
        request = admit(environ, configuration, self._settings.limits, max_key_age, now)
        if isinstance(request, Refusal):
            # This may be a retry of a request that has run: its plan can have changed since.
            certainly_not_run = key_age(environ.get("HTTP_IDEMPOTENCY_KEY", ""), now) is None
            yield from self._refuse(
                start_response,
                request if configuration.version else NO_CONFIGURATION,
                "",
                certainly_not_run,
            )
            return
        if self._is_full() and not self._kernel.find("pools").displace(
            request.plan.tier, NODE_FULL
        ):
            certainly_not_run = is_known_not_run(self._kernel, request)
            yield from self._refuse(
                start_response, NODE_FULL, request.request_id, certainly_not_run
            )
            return
        with request_context(request.request_id, request.plan.workspace):
            buffer, is_new = self.answers.get_or_create(request.plan.workspace, request.answer_id)
            if is_new:
                yield from self._execute(environ, start_response, request, buffer)
            else:
                yield from self._follow(environ, start_response, request, buffer)

    def _is_full(self) -> bool:
        threads = self._settings.node.threads
        return self._active > threads - max(MIN_SPARE_THREADS, threads // SPARE_THREADS_DIVISOR)

    def _refuse(
        self,
        start_response: StartResponse,
        refusal: Refusal,
        request_id: str,
        certainly_not_run: bool = True,
    ) -> Iterator[bytes]:
        self._kernel.find("metrics").count_refusal(refusal.kind)
        head, body = refusal_head(refusal, certainly_not_run)
        self._send_head(start_response, head, request_id, len(body))
        yield body

    def _execute(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        request: Request,
        buffer: AnswerBuffer,
    ) -> Iterator[bytes]:
        executor = RequestExecutor(self._kernel, request, buffer, environ.get(SOCKET_KEY))
        steps = executor.run()
        chunk_count = 0
        try:
            for _ in steps:
                if chunk_count == 0:
                    self._start_answer(start_response, request, buffer)
                chunks = buffer.chunks_from(chunk_count)
                chunk_count += len(chunks)
                yield b"".join(chunks)
        finally:
            steps.close()
            if not executor.is_answer_kept():
                self.answers.drop(request.plan.workspace, request.answer_id, buffer)
        self._close_if_incomplete(environ, buffer)

    def _follow(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        request: Request,
        buffer: AnswerBuffer,
    ) -> Iterator[bytes]:
        if buffer.wait_for_head(request.deadline) is None:
            remedy = "the request is still running; ask again under the same id"
            not_run_head, body = refusal_head(Refusal(504, "still-running", remedy, 1.0))
            head = AnswerHead(504, "unknown", not_run_head.headers)
            self._send_head(start_response, head, request.request_id, len(body))
            yield body
            return
        self._start_answer(start_response, request, buffer, self._outcome_holds(request, buffer))
        yield from buffer.read(request.deadline)
        self._close_if_incomplete(environ, buffer)

    def _outcome_holds(self, request: Request, buffer: AnswerBuffer) -> bool:
        """Return whether the outcome sent to the first caller is also correct for a later one."""
        assert buffer.head is not None
        is_not_run = buffer.head.outcome == "not-run"
        return not is_not_run or is_known_not_run(self._kernel, request)

    def _close_if_incomplete(self, environ: dict[str, Any], buffer: AnswerBuffer) -> None:
        # The missing last chunk shows the caller that the body is incomplete.
        connection = environ.get(SOCKET_KEY)
        if connection is not None and not buffer.complete:
            connection.shutdown(socket.SHUT_RDWR)

    def _start_answer(
        self,
        start_response: StartResponse,
        request: Request,
        buffer: AnswerBuffer,
        outcome_holds: bool = True,
    ) -> None:
        head = buffer.head
        assert head is not None
        length = buffer.size if buffer.finished_at and buffer.complete else None
        sent_head = head if outcome_holds else AnswerHead(head.status, "unknown", head.headers)
        self._send_head(start_response, sent_head, request.request_id, length)

    def _send_head(
        self, start_response: StartResponse, head: AnswerHead, request_id: str, length: int | None
    ) -> None:
        reason = http.client.responses.get(head.status, "Refused")
        headers = [*head.headers, ("Celeryrun-Outcome", head.outcome)]
        if request_id:
            headers.append(("Request-Id", request_id))
        if length is not None and head.status not in BODILESS_STATUSES:
            headers.append(("Content-Length", str(length)))
        start_response(f"{head.status} {reason}", headers)
