"""Targets whose responses are given byte by byte."""

import asyncio
import contextlib

from standins.store import HOST

# Headers without which no response is passed on, by the protocol of the platform's runners.
SEAL = "Celeryrun-Attempt-Id: {id}\r\nCeleryrun-Response-Seal: seal-raw\r\n"
READ_AHEAD = 4096  # bytes of a request that are read before they are asked for, at most twice


def responder(response):
    """Return a function that responds to each request in the same way.

    Parameters
    ----------
    response : bytes
        Response in which ``{seal}`` stands for the headers of `SEAL`.
    """

    async def respond(reader, writer, attempt_id):
        writer.write(response.replace(b"{seal}", SEAL.format(id=attempt_id).encode()))
        await writer.drain()

    return respond


class RawTarget:
    """Target that reads the head of a request and leaves the rest to a function.

    Parameters
    ----------
    respond : coroutine function
        Called with the reader, the writer and the attempt id of each request; the connection is
        closed when it returns.

    Attributes
    ----------
    attempt_ids : list of str
        Attempt ids of the requests so far.
    """

    def __init__(self, site, service, respond):
        self._site = site
        self._service = service
        self._id = f"raw-{service}"
        self._respond = respond
        self.attempt_ids = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=READ_AHEAD)
        host, port = self._server.sockets[0].getsockname()
        entry = {
            "service": self._service,
            "address": f"{host}:{port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
        self._site.store.put("keyed.servers", self._id, entry)
        discoveries = [gateway.kernel.find("discovery") for gateway in self._site.gateways]
        await self._site.wait_until(lambda: all(self._id in d.targets_by_id for d in discoveries))
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").lower().split("\r\n")
            attempt_id = next(
                line.partition(": ")[2] for line in lines if line.startswith("celeryrun-attempt-id")
            )
            self.attempt_ids.append(attempt_id)
            await self._respond(reader, writer, attempt_id)
        writer.close()
