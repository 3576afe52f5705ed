"""Gateway processes that can be signalled and restarted."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from standins.ports import lease_ports
from standins.site import format_settings

__all__ = ["Node"]

BOUNDS = "drain_lag = 2s\nrevocation_lag = 5s\nconfiguration_lag = 2s\nstop_grace = 8s"
FIRST_START = "first_start = yes"
LATER_START = "first_start = no"
RESTART_DELAY = 0.2  # s until the platform restarts a process
EXIT_TIMEOUT = 12.0  # s, the stop grace and a margin for a slow machine


class Node:
    """Gateway process with its settings file.

    Parameters
    ----------
    store_port : int
        Port of the store.
    """

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.ports = lease_ports(4)
        self.log = folder / f"{name}.log"
        self.exit_timed_out = False
        self._path = folder / f"{name}.ini"
        self._text = format_settings(name, tuple(self.ports), store_port, BOUNDS)
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    def change_settings(self, increment: int) -> None:
        """Rewrite the settings file with another ``retry_slack``."""
        self._path.write_text(f"{self._text}\nretry_slack = {20 + increment}\n")

    async def restart(self, signal_number: signal.Signals) -> None:
        """Send a signal that ends the process, wait for its exit, and start it again."""
        process = self._process
        self.send_signal(signal_number)
        async with self._restarting:
            if self._process is not process:
                # Another fault has restarted the process meanwhile.
                return
            await self.wait_exit()
            await asyncio.sleep(RESTART_DELAY)
            self._text = self._text.replace(FIRST_START, LATER_START)
            self._path.write_text(self._path.read_text().replace(FIRST_START, LATER_START))
            await self.start()

    async def wait_exit(self) -> None:
        """Wait for the process to exit; kill it after `EXIT_TIMEOUT` seconds."""
        process = self._process
        if process is None:
            return
        try:
            async with asyncio.timeout(EXIT_TIMEOUT):
                await process.wait()
        except TimeoutError:
            self.exit_timed_out = True
            process.kill()
            await process.wait()
