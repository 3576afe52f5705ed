"""Cases of an independent review: scripts that show a broken rule with separate processes."""
