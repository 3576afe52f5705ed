"""Stand-in runner that speaks the published protocol of a platform's runners.

Faults, for the next requests, a count each: ``lost`` (runs and resets), ``rejected`` (503, not
run), ``error`` (500, run), ``cut`` (a stream ends in the middle of an event), ``foreign`` (an
answer to another request), ``unsealed``, ``unpromised`` (503 without a statement), ``hang`` (no
answer), ``stall`` (a stream goes silent after two events).
"""

from __future__ import annotations

import asyncio
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


@dataclass
class RecordedRequest:
    """One request that arrived.

    Parameters
    ----------
    executed : bool
        Whether the runner began to work on it.
    arrived_at : float
        When it arrived, in seconds of the nodes' clock.
    """

    attempt_id: str
    request_target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    method: bytes = b"POST"
    executed: bool = False
    arrived_at: float = field(default_factory=now)


class RunnerStandIn:
    """A runner of one service.

    Parameters
    ----------
    registered_port : int
        In its entry, where it is reached by a proxy; 0 for its own.
    events : int
        Events of each stream; 0 for a plain answer.
    work : float
        Seconds for each event, or for a plain answer.
    """

    def __init__(
        self,
        store: StoreStandIn,
        id: str,
        service: str,
        events: int = 0,
        work: float = 0.005,
        slots: int = 8,
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
        self.max_running = 0
        self.cancelled_count = 0
        self.port = 0
        self.registered_port = 0
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def executed_requests(self) -> list[RecordedRequest]:
        """Requests that it worked on."""
        return [run for run in self.requests if run.executed]

    async def start(self) -> None:
        """Begin serving and register."""
        self._server, self.port = await listen(self._serve, self.connections, self.port)
        self.register("ready")

    def stop(self) -> None:
        """Stop accepting, as after a crash; the entry stays."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Stop and break off every connection, as when the process dies."""
        self.stop()
        for connection in list(self.connections):
            connection.abort()

    def register(self, state: str | None) -> None:
        """Write the entry; None removes it."""
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.registered_port or self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": len(self.requests),
            "born": 1,
        }
        self.store.put("keyed.servers", self.id, None if state is None else entry)

    def _take(self, fault: str) -> bool:
        if self.faults[fault] > 0:
            self.faults[fault] -= 1
            return True
        return False

    async def _serve(self, connection: CallerConnection, request: ReceivedRequest) -> None:
        headers = dict(request.head.headers)
        attempt = headers.get(b"celeryrun-attempt-id", b"").decode()
        run = RecordedRequest(
            attempt, request.head.request_target, headers, request.body, request.head.method
        )
        self.requests.append(run)
        if headers.get(b"celeryrun-expect-instance") != self.id.encode():
            send_response(connection, 421, b"", Celeryrun_Runner_Id=self.id)
            return
        if self._take("rejected"):
            send_response(connection, 503, b"", Celeryrun_Not_Executed="1")
            return
        run.executed = True
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await self._run(connection, run)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        finally:
            self.running -= 1

    async def _run(self, connection: CallerConnection, run: RecordedRequest) -> None:
        if not self.faults["error"] and self._take("hang"):
            await asyncio.sleep(3600)
        await asyncio.sleep(self.work)
        if self._take("lost"):
            connection.abort()
            return
        attempt = "another" if self._take("foreign") else run.attempt_id
        common = {"Celeryrun_Attempt_Id": attempt}
        if not self._take("unsealed"):
            common["Celeryrun_Response_Seal"] = f"seal-{self.id}"
        if self._take("unpromised"):
            send_response(connection, 503, b"busy", **common)
        elif self._take("error"):
            send_response(connection, 500, b"failed", **common)
        elif self.events:
            await self._stream(connection, run, common)
        else:
            body = f"{self.id}:{run.attempt_id}".encode()
            send_response(connection, 200, body, run.method == b"HEAD", **common)

    async def _stream(
        self, connection: CallerConnection, run: RecordedRequest, headers: dict[str, str]
    ) -> None:
        fields = [
            (name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()
        ]
        fields += [(b"Content-Type", b"text/event-stream"), (b"Transfer-Encoding", b"chunked")]
        connection.write(format_head(b"HTTP/1.1 200 OK", fields))
        start = int(run.headers.get(b"last-event-id", b"0"))
        for number in range(start + 1, self.events + 1):
            if number == start + 3 and self._take("stall"):
                await asyncio.sleep(3600)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if number > start + 2 and self._take("cut"):
                connection.write(format_chunk(event[:8]))
                await asyncio.sleep(self.work)
                connection.abort()
                return
            connection.write(format_chunk(event))
            await asyncio.sleep(self.work)
        connection.write(LAST_CHUNK)
