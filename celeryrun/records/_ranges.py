"""Types of the fields of records, with the range of their values."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

__all__ = [
    "HeaderText",
    "Milliseconds",
    "Rate",
    "Sequence",
    "Slots",
    "Small",
    "Weight",
    "Whole",
]

MAX_SLOTS = 65_536  # of one target; the scheduler keeps a number for each
MAX_WHOLE = 2**53 - 1  # largest whole number that every JSON implementation represents
MAX_SMALL = 2**31 - 1  # of ranks, numbers of attempts and the like
MAX_MILLISECONDS = 1e12  # 30 years
MAX_RATE = 1e12  # units per second, or units of a burst
MAX_WEIGHT = 1e9

HeaderText = Annotated[str, Meta(pattern=r"^[^\x00-\x1f\x7f]*\Z")]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_MILLISECONDS)]
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
Sequence = Annotated[float, Meta(ge=0, le=MAX_WHOLE)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Small = Annotated[int, Meta(ge=-MAX_SMALL, le=MAX_SMALL)]
Weight = Annotated[float, Meta(ge=0, le=MAX_WEIGHT)]
Whole = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
