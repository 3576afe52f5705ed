"""Callers that keep their connections until the node is gone."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import httptools

from celeryrun.kernel import now
from soak._judge import Sent
from standins.site import ReceivedResponse

__all__ = ["Caller"]

PATHS = ("/calls/a", "/bookings/a", "/drafts/a", "/chats/a")
DEADLINE = 2000  # ms that a caller waits, the routes' own timeout
GIVE_UP = 6.0  # s after which a caller stops listening, well past any deadline
REST = (0.005, 0.06)  # s between two requests of one caller
REDIAL = 0.1  # s after a connection that could not be opened


class Caller:
    """One caller: a request after the other, each on the connection it has, while it lasts.

    Parameters
    ----------
    port_by_node : dict
        Where each node takes callers; one is chosen for each new connection.
    keys : sequence of str
        That it uses, removed ones too: it goes on until it is told.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        port_by_node: dict[str, int],
        keys: Sequence[str],
        sent: list[Sent],
    ) -> None:
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._port_by_node = port_by_node
        self._keys = keys
        self._sent = sent
        self._count = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            node = self._random.choice(sorted(self._port_by_node))
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._port_by_node[node]
                )
            except OSError:
                await asyncio.sleep(REDIAL)
                continue
            try:
                while await self._ask(node, reader, writer):
                    await asyncio.sleep(self._random.uniform(*REST))
            except OSError:
                # The node closed the connection before this request was sent whole.
                await asyncio.sleep(REDIAL)
            finally:
                writer.transport.abort()

    async def _ask(self, node: str, reader: Any, writer: Any) -> bool:
        """Send one request and take its answer; tell whether the connection goes on."""
        if reader.at_eof():
            return False
        self._count += 1
        body = self._random.randbytes(self._random.choice((0, 10, 5000)))
        sent = Sent(
            f"c{self._number}-{self._count}",
            self._random.choice(PATHS),
            self._random.choice(self._keys),
            node,
            now(),
            body,
        )
        writer.write(_format(sent))
        await writer.drain()
        sent.at = now()
        self._sent.append(sent)
        answer = ReceivedResponse()
        parser = httptools.HttpResponseParser(answer)
        try:
            async with asyncio.timeout(GIVE_UP):
                while not answer.complete and (data := await reader.read(65536)):
                    parser.feed_data(data)
        except (OSError, TimeoutError):
            # What is missing of the answer is judged later.
            pass
        except httptools.HttpParserError as error:
            sent.malformed = str(error)
        sent.ended = now()
        sent.complete = answer.complete
        sent.status = parser.get_status_code() if answer.headers else 0
        sent.answer = answer.body
        sent.ids = answer.event_ids if sent.path.startswith(("/drafts/", "/chats/")) else []
        return (
            answer.complete and not sent.malformed and answer.headers.get("connection") != "close"
        )


def _format(sent: Sent) -> bytes:
    lines = [
        f"POST {sent.path} HTTP/1.1",
        "Host: site.example",
        f"Celeryrun-Attempt-Id: {sent.attempt}",
        f"Celeryrun-Deadline-Ms: {DEADLINE}",
        "Celeryrun-Token-Usage: 100,30",
        f"Authorization: Bearer {sent.key}",
        f"Content-Length: {len(sent.body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + sent.body
