"""Long randomised runs against real processes."""
