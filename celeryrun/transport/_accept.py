"""Closing of a listening socket without resetting connections that it has not accepted yet."""

from __future__ import annotations

import ctypes
import select
import socket
import struct

__all__ = ["has_unaccepted", "ignore_new_connections"]

SO_ATTACH_FILTER = getattr(socket, "SO_ATTACH_FILTER", 26)
FLAGS_OFFSET = 13  # of the flags in a TCP header
SYN = 0x02
LOAD_BYTE, JUMP_IF_SET, RETURN = 0x30, 0x45, 0x06  # instructions of the classic packet filter
ACCEPT, DROP = 0xFFFFFFFF, 0
INSTRUCTION = struct.Struct("HBBI")
PROGRAM = struct.Struct("HP")


def ignore_new_connections(listener: socket.socket) -> bool:
    """Let the system drop requests for new connections, so that those under way can be accepted.

    Closing a listener resets the connections that wait to be accepted, and with them requests
    that their callers believe to be received. A caller whose request for a connection is dropped
    sends it again a second later and is refused by then.

    Returns
    -------
    bool
        False if the system has no such filter.
    """
    instructions = b"".join(
        (
            INSTRUCTION.pack(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
            INSTRUCTION.pack(JUMP_IF_SET, 0, 1, SYN),
            INSTRUCTION.pack(RETURN, 0, 0, DROP),
            INSTRUCTION.pack(RETURN, 0, 0, ACCEPT),
        )
    )
    buffer = ctypes.create_string_buffer(instructions)
    program = PROGRAM.pack(len(instructions) // INSTRUCTION.size, ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True


def has_unaccepted(listener: socket.socket) -> bool:
    """Return whether a connection waits to be accepted."""
    poller = select.poll()
    poller.register(listener, select.POLLIN)
    return bool(poller.poll(0))
