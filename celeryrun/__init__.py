"""A request scheduler for unlike engines behind one front door."""

__all__ = ["__version__"]

__version__ = "0.1.0"
