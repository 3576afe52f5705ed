"""Stand-ins for the external systems of celeryrun: the platform, model engines and applications."""
