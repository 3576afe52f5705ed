"""Benchmarks; each is a command that prints raw figures."""
