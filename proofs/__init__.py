"""Long, seeded fault-injection runs, checked from outside the nodes."""
