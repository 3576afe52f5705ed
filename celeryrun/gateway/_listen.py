"""Opening of a gateway's listeners."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from celeryrun.exception import ListenError
from celeryrun.settings import Address

__all__ = ["listen"]

LISTEN_BACKLOG = 512  # connections waiting to be accepted; clients connect in bursts
ACCEPTED_AT_ONCE = 16  # in a turn of the event loop, before any of them can be closed


async def listen(
    address: Address,
    key: str,
    connect: Callable[[], asyncio.BaseProtocol],
) -> asyncio.Server:
    """Listen on an address.

    Parameters
    ----------
    key : str
        Key of the address in the section ``[node]`` of the settings.
    connect : callable
        Returns the protocol of a new connection.

    Raises
    ------
    ListenError
        If the address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    try:
        server = await loop.create_server(
            connect, address.host, address.port, backlog=ACCEPTED_AT_ONCE
        )
        for listener in server.sockets:
            with listener.dup() as same:
                same.listen(LISTEN_BACKLOG)
        return server
    except OSError as error:
        raise ListenError(str(address), key, str(error)) from error
