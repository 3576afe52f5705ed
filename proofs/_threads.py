"""Threads of callers that run until they are stopped."""

from __future__ import annotations

import hashlib
import threading

from standins.fleet import Fleet

__all__ = ["CallerThreads", "expected_text"]


class CallerThreads:
    """Base of the callers: subclasses fill ``threads`` with what runs until ``stopped``.

    Parameters
    ----------
    fleet : Fleet
        What they call.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Begin."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Send nothing new, and wait for what runs."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def expected_text(prompt: str, tokens: int) -> str:
    """Return what the stand-in engine gives for a prompt."""
    seed = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return "".join(f"{seed}.{index} " for index in range(tokens))
