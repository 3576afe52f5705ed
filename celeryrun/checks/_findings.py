"""Finding of a check."""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Finding", "Severity"]


class Severity(enum.Enum):
    """Weight of a finding."""

    ERROR = "error"  # an entry has no effect, or two entries contradict each other
    WARNING = "warning"  # the configuration works, but hardly as it was meant


@dataclass(frozen=True, slots=True)
class Finding:
    """Fault of a configuration.

    Parameters
    ----------
    place : str
        Entry that has it, such as ``route drafts``.
    text : str
        Description of the fault.
    remedy : str
        What to change.
    """

    severity: Severity
    place: str
    text: str
    remedy: str

    def __str__(self) -> str:
        """Return the finding as one line of text.

        Examples
        --------
        >>> str(Finding(Severity.ERROR, "route a", "its pool b is not configured", "add b"))
        'error: route a: its pool b is not configured; add b'
        """
        return f"{self.severity.value}: {self.place}: {self.text}; {self.remedy}"
