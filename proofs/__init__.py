"""Long seeded runs under failure, judged from outside the nodes."""
