"""The front door: callers' HTTP requests, and the operators' listener."""

from celeryrun.front._answers import AnswerBook, Exchange
from celeryrun.front._door import FrontDoor
from celeryrun.front._operators import OperatorDoor, PoolStatus, Status
from celeryrun.front._request import Request

__all__ = [
    "AnswerBook",
    "Exchange",
    "FrontDoor",
    "OperatorDoor",
    "PoolStatus",
    "Request",
    "Status",
]
