"""Small stand-ins for what celeryrun meets: the platform, model engines and applications."""
