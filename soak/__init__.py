"""Randomized soak test: gateway processes under external faults, checked for guarantees."""
