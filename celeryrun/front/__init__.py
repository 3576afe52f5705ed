"""HTTP listeners for callers and operators, and execution of callers' requests."""

from celeryrun.front._answer_cache import AnswerBuffer, AnswerCache
from celeryrun.front._listener import CallerListener
from celeryrun.front._operators import OperatorListener, PoolStatus, Status
from celeryrun.front._request import Request

__all__ = [
    "AnswerBuffer",
    "AnswerCache",
    "CallerListener",
    "OperatorListener",
    "PoolStatus",
    "Request",
    "Status",
]
