"""Lookup and transfer of answers that other nodes produce or keep."""

from celeryrun.answers._directory import AnswerDirectory
from celeryrun.answers._service import AnswerService, FetchResult

__all__ = ["AnswerDirectory", "AnswerService", "FetchResult"]
