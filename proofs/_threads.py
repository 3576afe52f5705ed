"""Base class of the caller threads, and the text that the stand-in engine generates."""

from __future__ import annotations

import hashlib
import threading

from standins.fleet import Fleet

__all__ = ["CallerThreads", "expected_text"]


class CallerThreads:
    """Base class of the callers.

    Subclasses fill ``threads``; each thread runs until ``stopped`` is set.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start all threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Send no new requests, and wait for those in flight."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def expected_text(prompt: str, tokens: int) -> str:
    """Return the text that the stand-in engine generates for a prompt."""
    seed = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return "".join(f"{seed}.{index} " for index in range(tokens))
