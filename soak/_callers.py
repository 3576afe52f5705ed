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

__all__ = ["BAD_PART", "Caller"]

PATHS = ("/calls/a", "/bookings/a", "/drafts/a", "/chats/a")
BAD_PART = "bad"  # part of some prompts that crashes targets during the fault crashing-part
BAD_SHARE = 0.04  # of the requests to engines
REQUEST_DEADLINE = 2000  # ms, equal to the timeout of the routes
RESPONSE_TIMEOUT = 6.0  # s, well beyond any deadline
REQUEST_DELAY_RANGE = (0.005, 0.06)  # s between two requests of one caller
RECONNECT_DELAY = 0.1  # s after a connection failed


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
        )
        if request.path.startswith(("/drafts/", "/chats/")):
            middle = BAD_PART if self._rng.random() < BAD_SHARE else f"s{self._index % 4}"
            request.parts = ("common", middle, request.attempt_id)
        writer.write(_format_request(request))
        await writer.drain()
        request.sent_at = now()
        self._sent_requests.append(request)
        response = ReceivedResponse()
        parser = httptools.HttpResponseParser(response)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT):
                while not response.complete and (data := await reader.read(65536)):
                    parser.feed_data(data)
        except (OSError, TimeoutError):
            # The checker decides whether the response may be incomplete.
            pass
        except httptools.HttpParserError as error:
            request.parse_error = str(error)
        request.ended_at = now()
        request.complete = response.complete
        request.status = parser.get_status_code() if response.headers else 0
        request.response_body = response.body
        request.event_ids = (
            response.event_ids if request.path.startswith(("/drafts/", "/chats/")) else []
        )
        return (
            response.complete
            and not request.parse_error
            and response.headers.get("connection") != "close"
        )


def _format_request(request: SentRequest) -> bytes:
    lines = [
        f"POST {request.path} HTTP/1.1",
        "Host: site.example",
        f"Celeryrun-Attempt-Id: {request.attempt_id}",
        f"Celeryrun-Deadline-Ms: {REQUEST_DEADLINE}",
        "Celeryrun-Token-Usage: 100,30",
        f"Authorization: Bearer {request.key}",
        f"Celeryrun-Prompt-Prefix: {','.join(f'{part}:30' for part in request.parts)}",
        f"Content-Length: {len(request.body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + request.body
