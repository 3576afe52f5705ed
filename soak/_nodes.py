"""Gateways as processes: started, signalled by their ids, started again."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from standins.site import format_settings, free_ports

__all__ = ["Node"]

BOUNDS = "drain_lag = 2s\nrevocation_lag = 5s\nconfiguration_lag = 2s\nstop_grace = 8s"
RESTART = 0.2  # s until the platform starts a process again
END = 12.0  # s in which a stopped process must have ended, its grace and a slow machine


class Node:
    """One gateway process and its settings file.

    Parameters
    ----------
    store : int
        Port at which it finds the store.
    """

    def __init__(self, name: str, folder: Path, store: int) -> None:
        self.name = name
        self.ports = free_ports(4)
        self.log = folder / f"{name}.log"
        self.overdue = False
        self._path = folder / f"{name}.ini"
        self._text = format_settings(name, tuple(self.ports), store, BOUNDS)
        self._path.write_text(self._text)
        self._process: asyncio.subprocess.Process | None = None
        self._restarting = asyncio.Lock()

    async def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "celeryrun",
                "gateway",
                str(self._path),
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process while it lives."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    def change_settings(self, number: int) -> None:
        """Rewrite the settings file with another figure."""
        self._path.write_text(f"{self._text}\nretry_slack = {20 + number}\n")

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal, wait for it, and start it again."""
        process = self._process
        self.send(number)
        async with self._restarting:
            if self._process is not process:
                # Another fault has ended and replaced it meanwhile.
                return
            await self.end()
            await asyncio.sleep(RESTART)
            await self.start()

    async def end(self) -> None:
        """Wait until the process has ended; it is killed when it is long overdue."""
        process = self._process
        if process is None:
            return
        try:
            async with asyncio.timeout(END):
                await process.wait()
        except TimeoutError:
            self.overdue = True
            process.kill()
            await process.wait()
