"""Finding the answers that other nodes run or have finished."""

from celeryrun.answers._directory import Directory
from celeryrun.answers._service import AnswerService, Fetched

__all__ = ["AnswerService", "Directory", "Fetched"]
