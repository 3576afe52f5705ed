"""Callers that reuse their connections until the node closes them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import httptools

from celeryrun.kernel import now
from soak._checker import SentRequest
from standins.site import ReceivedResponse

__all__ = ["BAD_PART", "Caller", "PatientCaller"]

PATHS = ("/calls/a", "/bookings/a", "/drafts/a", "/chats/a")
BAD_PART = "bad"  # part of some prompts that crashes targets during the fault crashing-part
BAD_SHARE = 0.04  # of the requests to engines
REQUEST_DEADLINE = 2000  # ms, equal to the timeout of the routes
SEAL_HEADER = "celeryrun-response-seal"
RESPONSE_TIMEOUT = 4.0  # s beyond the deadline
REQUEST_DELAY_RANGE = (0.005, 0.06)  # s between two requests of one caller
RECONNECT_DELAY = 0.1  # s after a connection failed
PATIENT_PATHS = ("/calls/patient/a", "/drafts/patient/a", "/chats/patient/a", "/chats/patient/a")
PATIENT_DEADLINE = 6000  # ms, equal to the timeout of these routes
BROKEN_SHARE = 0.5  # of the resumable streams, by a failure of the caller's network
MAX_TRIES = 3  # of one stream
RETRY_DELAY = 0.05  # s before a stream is taken up again
MAX_RETRY_AFTER = 2.0  # s that a refused caller waits at most, a third of its deadline


class Caller:
    """Caller that sends one request at a time and keeps its connection while it is open.

    Parameters
    ----------
    port_by_node : dict
        Caller port of each node; a new connection goes to a random one.
    keys : sequence of str
        API keys to choose from. Revoked keys stay in use, as a caller learns of a revocation only
        from the response.
    """

    def __init__(
        self,
        index: int,
        seed: int,
        port_by_node: dict[str, int],
        keys: Sequence[str],
        sent_requests: list[SentRequest],
    ) -> None:
        self._index = index
        self._rng = random.Random(seed * 1000 + index)
        self._port_by_node = port_by_node
        self._keys = keys
        self._sent_requests = sent_requests
        self._request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            node = self._rng.choice(sorted(self._port_by_node))
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._port_by_node[node]
                )
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            try:
                while await self._send_request(node, reader, writer):
                    await asyncio.sleep(self._rng.uniform(*REQUEST_DELAY_RANGE))
            except OSError:
                # The node closed the connection before the whole request was sent.
                await asyncio.sleep(RECONNECT_DELAY)
            finally:
                writer.transport.abort()

    async def _send_request(self, node: str, reader: Any, writer: Any) -> bool:
        """Send one request and read its response; return whether the connection is reusable."""
        if reader.at_eof():
            return False
        self._request_count += 1
        body = self._rng.randbytes(self._rng.choice((0, 10, 5000)))
        request = SentRequest(
            f"c{self._index}-{self._request_count}",
            self._rng.choice(PATHS),
            self._rng.choice(self._keys),
            node,
            now(),
            body,
            deadline=REQUEST_DEADLINE / 1000,
        )
        if request.path.startswith(("/drafts/", "/chats/")):
            middle = BAD_PART if self._rng.random() < BAD_SHARE else f"s{self._index % 4}"
            request.parts = ("common", middle, request.attempt_id)
        return await self._exchange(request, reader, writer)

    async def _exchange(
        self, request: SentRequest, reader: Any, writer: Any, break_after: int | None = None
    ) -> bool:
        """Send a request and read its response, of a stream at most some events."""
        writer.write(_format_request(request))
        await writer.drain()
        request.sent_at = now()
        self._sent_requests.append(request)
        response = ReceivedResponse()
        parser = httptools.HttpResponseParser(response)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT + request.deadline):
                while not response.complete and (data := await reader.read(65536)):
                    parser.feed_data(data)
                    if response.headers and not request.responded_at:
                        request.responded_at = now()
                    if break_after is not None and len(_parse_events(response)) >= break_after:
                        request.broken_by_caller = True
                        break
        except (OSError, TimeoutError):
            # The checker decides whether the response may be incomplete.
            pass
        except httptools.HttpParserError as error:
            request.parse_error = str(error)
        request.ended_at = now()
        request.complete = response.complete
        request.status = parser.get_status_code() if response.headers else 0
        request.response_body = response.body
        request.retry_after = float(response.headers.get("retry-after", 0))
        request.target = response.headers.get(SEAL_HEADER, "").removeprefix("seal-")
        request.event_ids = (
            response.event_ids if request.path.startswith(("/drafts/", "/chats/")) else []
        )
        if request.event_ids:
            request.events = _parse_events(response)
        return (
            response.complete
            and not request.parse_error
            and response.headers.get("connection") != "close"
        )


class PatientCaller(Caller):
    """Caller that waits for silent targets and takes broken streams up again at another node."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            request = self._build_request(self._rng.choice(PATIENT_PATHS))
            if request.path.startswith("/chats/"):
                await self._read_stream(request)
            else:
                await self._try_request(request)
            await asyncio.sleep(self._rng.uniform(*REQUEST_DELAY_RANGE))

    async def _read_stream(self, request: SentRequest) -> None:
        """Read a stream over all tries, under the id of the attempt that began it."""
        first = request
        event_count = 0
        for _ in range(MAX_TRIES):
            is_broken = self._rng.random() < BROKEN_SHARE
            await self._try_request(request, self._rng.randint(1, 3) if is_broken else None)
            event_count += len(request.events)
            if request.complete and request.status == 200 or not first.events:
                return
            await asyncio.sleep(max(RETRY_DELAY, min(request.retry_after, MAX_RETRY_AFTER)))
            previous = request
            request = self._build_request(first.path, previous.node)
            request.key, request.body, request.parts = first.key, first.body, first.parts
            request.resumes = first.attempt_id
            request.last_event_id = event_count

    def _build_request(self, path: str, avoided_node: str = "") -> SentRequest:
        self._request_count += 1
        attempt_id = f"c{self._index}-{self._request_count}"
        node = self._rng.choice(
            [name for name in sorted(self._port_by_node) if name != avoided_node]
        )
        return SentRequest(
            attempt_id,
            path,
            self._rng.choice(self._keys),
            node,
            now(),
            # Equal requests would share the suspicion of a crash.
            attempt_id.encode(),
            parts=() if path.startswith("/calls/") else ("common", attempt_id),
            deadline=PATIENT_DEADLINE / 1000,
        )

    async def _try_request(self, request: SentRequest, break_after: int | None = None) -> None:
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._port_by_node[request.node]
            )
        except OSError:
            await asyncio.sleep(RECONNECT_DELAY)
            return
        try:
            await self._exchange(request, reader, writer, break_after)
        except OSError:
            # The node closed the connection before the whole request was sent.
            await asyncio.sleep(RECONNECT_DELAY)
        finally:
            writer.transport.abort()


def _parse_events(response: ReceivedResponse) -> list[tuple[int, str]]:
    """Return id and version of each whole event."""
    events = []
    for event in response.body.split(b"\n\n")[:-1]:
        fields = dict(line.partition(": ")[::2] for line in event.decode().splitlines())
        if "id" in fields:
            events.append((int(fields["id"]), fields.get("event", "")))
    return events


def _format_request(request: SentRequest) -> bytes:
    lines = [
        f"POST {request.path} HTTP/1.1",
        "Host: site.example",
        f"Celeryrun-Attempt-Id: {request.attempt_id}",
        f"Celeryrun-Deadline-Ms: {int(request.deadline * 1000)}",
        "Celeryrun-Token-Usage: 100,30",
        f"Authorization: Bearer {request.key}",
        f"Celeryrun-Prompt-Prefix: {','.join(f'{part}:30' for part in request.parts)}",
        f"Content-Length: {len(request.body)}",
    ]
    if request.resumes:
        lines += [f"Last-Event-Id: {request.last_event_id}", f"Resumes: {request.resumes}"]
    lines += ["", ""]
    return "\r\n".join(lines).encode() + request.body
