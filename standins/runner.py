"""Stand-in runner that speaks the published protocol of a platform's runners.

Each fault is the number of further requests that it affects:

- ``lost``: the request is executed, then the connection is reset.
- ``rejected``: 503 with the statement that the request was not executed.
- ``error``: 500 after execution.
- ``unframed``: the response has neither a length nor chunks and ends with its connection.
- ``ends-inside``: as ``unframed``, and a stream ends inside an event.
- ``dies-between``: as ``unframed``, and the runner crashes between two events or after half a body.
- ``cut``: a stream ends in the middle of an event.
- ``foreign``: the response carries the id of another attempt.
- ``unsealed``: the response has no seal.
- ``unpromised``: 503 without the statement that the request was not executed.
- ``hang``: no response.
- ``second``: the response is followed at once by a plain one under another id.
- ``stall``: a stream goes silent after two events.
- ``drip``: a stream sends only comments after two events.
- ``no-ids``: the events of a stream have no ids.
- ``endless``: an event of a stream, or a plain body, has no end until the caller closes.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from celeryrun.kernel import now
from celeryrun.transport import (
    LAST_CHUNK,
    CallerConnection,
    ReceivedRequest,
    format_chunk,
    format_head,
)
from standins.store import HOST, StoreStandIn, listen, send_response

__all__ = ["RecordedRequest", "RunnerStandIn"]

UNFRAMED_FAULTS = ("unframed", "ends-inside", "dies-between")


@dataclass
class RecordedRequest:
    """Request that a runner received.

    Parameters
    ----------
    executed : bool
        Whether its execution began.
    arrived_at : float
        Time of arrival, on the clock of `celeryrun.kernel.now`.
    born : int
        Start of the run that received it, as in the store's entry.
    leaving : bool
        Whether the response said that the runner leaves.
    retry_after : float or None
        Seconds named as it was turned away, None without them.
    broken_off : bool
        Whether the runner broke off the response or crashed before its end.
    """

    attempt_id: str
    request_target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    method: bytes = b"POST"
    executed: bool = False
    arrived_at: float = field(default_factory=now)
    born: int = 1
    leaving: bool = False
    retry_after: float | None = None
    broken_off: bool = False

    @property
    def shared_parts(self) -> list[str]:
        """Ids of all parts of the prompt but the last."""
        entries = self.headers.get(b"celeryrun-prompt-prefix", b"").decode().split(",")
        return [entry.partition(":")[0] for entry in entries[:-1]]


class RunnerStandIn:
    """Runner of one service, registered in the store.

    Parameters
    ----------
    events : int
        Events of each stream; 0 for plain responses.
    work : float
        Seconds of work for each event, or for a plain response.

    Attributes
    ----------
    registered_port : int
        Port in the store's entry, such as that of a proxy; 0 for the runner's own port.
    crashing_parts : set of str
        Shared parts of prompts on which the runner crashes as it begins to write.
    crashes : list of float
        Times of the crashes caused by them.
    rate_limit : float or None
        Requests per second that the runner names as its limit in every response.
    state : str or None
        State that was last written to the store.
    restart_delay : float
        Seconds after such a crash in which the runner is down.
    leaving : bool
        Whether every response says that the runner leaves; the store's entry stays as it is.
    retry_after : float or None
        Seconds that the runner names as it turns every request away with 503, None to serve.
    failing_share : float
        Part of the requests that are executed and answered with 500, as by a bad version.
    version : str
        Version of the software, in the store's entry and in each event of a stream.
    """

    def __init__(
        self,
        store: StoreStandIn,
        id: str,
        service: str,
        events: int = 0,
        work: float = 0.005,
        slots: int = 8,
        version: str = "v1",
    ) -> None:
        self.store = store
        self.id = id
        self.service = service
        self.events = events
        self.work = work
        self.slots = slots
        self.faults: Counter[str] = Counter()
        self.requests: list[RecordedRequest] = []
        self.running = 0
        self._in_progress: dict[int, RecordedRequest] = {}
        self.max_running = 0
        self.cancelled_count = 0
        self.port = 0
        self.registered_port = 0
        self.connections: set[CallerConnection] = set()
        self.crashing_parts: set[str] = set()
        self.crashes: list[float] = []
        self.rate_limit: float | None = None
        self.restart_delay = 0.4
        self.leaving = False
        self.retry_after: float | None = None
        self.version = version
        self.failing_share = 0.0
        self._failures_due = 0.0
        self._silent_until = 0.0
        self.state: str | None = None
        self._born = 1
        self._restart_task: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None

    @property
    def executed_requests(self) -> list[RecordedRequest]:
        """Requests whose execution began."""
        return [request for request in self.requests if request.executed]

    async def start(self) -> None:
        """Start serving and register as ready."""
        self._server, self.port = await listen(self._serve, self.connections, self.port)
        self.register("ready")

    def stop(self) -> None:
        """Stop accepting connections without removing the store's entry, as after a crash."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Stop and abort every connection, as when the process dies."""
        self.stop()
        for recorded in self._in_progress.values():
            recorded.broken_off = True
        for connection in list(self.connections):
            connection.abort()

    async def restart(self, version: str | None = None, down: float = 0.0) -> None:
        """Crash and start again after some seconds, under the same id and address."""
        self.crash()
        await asyncio.sleep(down)
        await self.start_again(version)

    async def start_again(self, version: str | None = None) -> None:
        """Start a new run under the same id, which knows nothing of what the last has stated.

        Its version changes if one is given.
        """
        self._born = max(self._born + 1, int(time.time() * 1000))
        self.version = version or self.version
        self.leaving = False
        self.retry_after = None
        await self.start()

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for some seconds and then go on, also with responses in progress."""
        self._silent_until = max(self._silent_until, now() + seconds)

    async def _work(self) -> None:
        """Work for one event or plain response, and wait while the runner is silent."""
        await asyncio.sleep(self.work)
        while (remaining := self._silent_until - now()) > 0:
            await asyncio.sleep(remaining)

    def _crash_and_restart(self) -> None:
        self.crashes.append(now())
        self.crash()
        self._restart_task = asyncio.get_running_loop().create_task(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(self.restart_delay)
        self._born += 1
        self._restart_task = None
        await self.start()

    def register(self, state: str | None) -> None:
        """Write the entry with a state to the store; None removes the entry."""
        self.state = state
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.registered_port or self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": len(self.requests),
            "born": self._born,
        }
        self.store.put("keyed.servers", self.id, None if state is None else entry)

    def _consume_fault(self, fault: str) -> bool:
        if self.faults[fault] > 0:
            self.faults[fault] -= 1
            return True
        return False

    async def _serve(self, connection: CallerConnection, request: ReceivedRequest) -> None:
        headers = dict(request.head.headers)
        attempt_id = headers.get(b"celeryrun-attempt-id", b"").decode()
        recorded = RecordedRequest(
            attempt_id, request.head.request_target, headers, request.body, request.head.method
        )
        recorded.born = self._born
        self.requests.append(recorded)
        if headers.get(b"celeryrun-expect-instance") != self.id.encode():
            send_response(connection, 421, b"", Celeryrun_Runner_Id=self.id)
            return
        if self.retry_after is not None or self._consume_fault("rejected"):
            recorded.leaving = self.leaving
            recorded.retry_after = self.retry_after
            send_response(connection, 503, b"", Celeryrun_Not_Executed="1", **self._own_headers())
            return
        recorded.executed = True
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._in_progress[id(recorded)] = recorded
        try:
            await self._execute(connection, recorded)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        finally:
            del self._in_progress[id(recorded)]
            self.running -= 1

    def _is_failure_due(self) -> bool:
        self._failures_due += self.failing_share
        if self._failures_due < 1:
            return False
        self._failures_due -= 1
        return True

    def _own_headers(self) -> dict[str, str]:
        """Return the headers in which the runner speaks of itself."""
        headers = {}
        if self.rate_limit is not None:
            headers["Server_Limit"] = f"{self.rate_limit:g}"
        if self.leaving:
            headers["Server_Leaving"] = "1"
        if self.retry_after is not None:
            headers["Retry_After"] = f"{self.retry_after:g}"
        return headers

    async def _execute(self, connection: CallerConnection, recorded: RecordedRequest) -> None:
        if not self.faults["error"] and self._consume_fault("hang"):
            await asyncio.sleep(3600)
        await self._work()
        if self._consume_fault("old-refusal"):
            send_response(
                connection, 503, b"", Celeryrun_Not_Executed="1", Celeryrun_Attempt_Id="earlier"
            )
        if self._consume_fault("half-head"):
            recorded.broken_off = True
            fields = {"Celeryrun_Attempt_Id": recorded.attempt_id, "Content-Length": "0"}
            fields["Celeryrun_Response_Seal"] = f"seal-{self.id}"
            connection.write(format_head(b"HTTP/1.1 200 OK", _format_fields(fields))[:-2])
            connection.transport.close()
            return
        if self.crashing_parts.intersection(recorded.shared_parts):
            self._crash_and_restart()
            return
        if self._consume_fault("lost"):
            recorded.broken_off = True
            connection.abort()
            return
        attempt_id = "another" if self._consume_fault("foreign") else recorded.attempt_id
        recorded.leaving = self.leaving
        common_headers = {"Celeryrun_Attempt_Id": attempt_id, **self._own_headers()}
        if not self._consume_fault("unsealed"):
            common_headers["Celeryrun_Response_Seal"] = f"seal-{self.id}"
        if self._consume_fault("unpromised"):
            send_response(connection, 503, b"busy", **common_headers)
        elif self._consume_fault("error") or self._is_failure_due():
            send_response(connection, 500, b"failed", **common_headers)
        elif fault := next(filter(self._consume_fault, UNFRAMED_FAULTS), None):
            await self._send_unframed(connection, recorded, common_headers, fault)
        elif self.events:
            await self._send_stream(connection, recorded, common_headers)
        elif self._consume_fault("endless"):
            _send_chunked_head(connection, common_headers)
            await self._send_without_end(connection)
        else:
            body = f"{self.id}:{recorded.attempt_id}".encode()
            send_response(connection, 200, body, recorded.method == b"HEAD", **common_headers)
        if self._consume_fault("second"):
            common_headers["Celeryrun_Attempt_Id"] = "another"
            send_response(connection, 200, b"second response", **common_headers)

    async def _send_unframed(
        self,
        connection: CallerConnection,
        recorded: RecordedRequest,
        headers: dict[str, str],
        fault: str,
    ) -> None:
        """Send a response that ends with its connection, whole or not."""
        parts = [self._format_event(number) for number in range(1, self.events + 1)]
        if not self.events:
            body = f"{self.id}:{recorded.attempt_id}".encode()
            parts = [body[:3], body[3:]]
        parts = parts[int(recorded.headers.get(b"last-event-id", b"0")) :]
        if fault == "ends-inside":
            parts[-1] = parts[-1][:8]
        elif fault == "dies-between":
            del parts[-1]
        recorded.broken_off = fault != "unframed"
        connection.write(format_head(b"HTTP/1.1 200 OK", _format_fields(headers)))
        for part in parts:
            connection.write(part)
            await self._work()
        if fault == "dies-between":
            self.stop()
            self._restart_task = asyncio.get_running_loop().create_task(self._restart())
        connection.transport.close()

    def _format_event(self, number: int) -> bytes:
        return f"id: {number}\nevent: {self.version}\ndata: piece {number}\n\n".encode()

    async def _send_without_end(self, connection: CallerConnection) -> None:
        """Send chunks until cancelled, as the caller closes the connection."""
        while True:
            connection.write(format_chunk(b"x" * 4096))
            await connection.drain()
            await asyncio.sleep(0)

    async def _send_stream(
        self, connection: CallerConnection, recorded: RecordedRequest, headers: dict[str, str]
    ) -> None:
        _send_chunked_head(connection, {**headers, "Content_Type": "text/event-stream"})
        last_event_id = int(recorded.headers.get(b"last-event-id", b"0"))
        for event_id in range(last_event_id + 1, self.events + 1):
            if event_id == last_event_id + 3 and self._consume_fault("stall"):
                await asyncio.sleep(3600)
            while event_id == last_event_id + 3 and self.faults["drip"]:
                connection.write(format_chunk(b": wait\n\n"))
                await asyncio.sleep(self.work)
            if event_id == last_event_id + 3 and self._consume_fault("endless"):
                await self._send_without_end(connection)
            event = self._format_event(event_id)
            if self.faults["no-ids"]:
                event = event.partition(b"\n")[2]
            if event_id > last_event_id + 2 and self._consume_fault("cut"):
                recorded.broken_off = True
                connection.write(format_chunk(event[:8]))
                await asyncio.sleep(self.work)
                connection.abort()
                return
            connection.write(format_chunk(event))
            await self._work()
        connection.write(LAST_CHUNK)


def _format_fields(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]


def _send_chunked_head(connection: CallerConnection, headers: dict[str, str]) -> None:
    fields = [*_format_fields(headers), (b"Transfer-Encoding", b"chunked")]
    connection.write(format_head(b"HTTP/1.1 200 OK", fields))
