"""Loopback ports for processes of tests, each given to one process at a time."""

from __future__ import annotations

import errno
import fcntl
import os
import random
import socket
import tempfile
import threading
from pathlib import Path

__all__ = ["HOST", "PortLease", "lease_ports"]

HOST = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)  # outside the ephemeral range, whose ports clients may take
LOCK_FILE = Path(tempfile.gettempdir()) / f"celeryrun-ports-{os.getuid()}"


class PortLease:
    """Ports leased by this process; they stay leased until the process ends.

    A port is leased by a lock on the byte of that number in a file, so that no two test runs on
    a machine get the same one, whether or not a process listens on it yet.

    Parameters
    ----------
    path : Path, optional
        File with the locks, created if needed.
    """

    def __init__(self, path: Path = LOCK_FILE) -> None:
        self._path = path
        self._file: int | None = None
        self._leased: set[int] = set()
        self._guard = threading.Lock()
        self._random = random.SystemRandom()

    def take(self, count: int) -> list[int]:
        """Lease ports on which no process listens.

        Raises
        ------
        OSError
            If no port of the range is left.
        """
        ports: list[int] = []
        with self._guard:
            for port in self._random.sample(range(*PORT_RANGE), len(range(*PORT_RANGE))):
                if len(ports) == count:
                    break
                if self.try_take(port):
                    ports.append(port)
        if len(ports) < count:
            raise OSError(errno.EADDRNOTAVAIL, "no port left; end other test runs")
        return ports

    def try_take(self, port: int) -> bool:
        """Lease one port; return False if it is leased already or in use."""
        # Locks of one process do not exclude each other.
        if port in self._leased or not self._lock(port):
            return False
        self._leased.add(port)
        return _is_free(port)

    def _lock(self, port: int) -> bool:
        if self._file is None:
            self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError as error:
            if error.errno in (errno.EACCES, errno.EAGAIN):
                return False
            raise
        return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


_lease = PortLease()


def lease_ports(count: int) -> list[int]:
    """Return ports of the loopback address that no other caller gets while this process lives.

    Examples
    --------
    >>> first, second = lease_ports(1), lease_ports(1)
    >>> first != second
    True
    """
    return _lease.take(count)
