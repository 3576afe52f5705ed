"""Scheduler of requests to inference engines and applications behind one HTTP entry point."""

__all__ = ["__version__"]

__version__ = "0.1.0"
