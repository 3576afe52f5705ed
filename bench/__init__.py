"""Measurements, each a command that prints raw figures."""
