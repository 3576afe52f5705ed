"""Finding the answers that other nodes run or have finished."""

from celeryrun.answers._directory import AnswerDirectory
from celeryrun.answers._service import AnswerService, FetchResult

__all__ = ["AnswerDirectory", "AnswerService", "FetchResult"]
