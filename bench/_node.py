"""Runs a node with a baseline policy: ``python -m bench._node POLICY SETTINGS [OPTIONS]``."""

from __future__ import annotations

import sys

from bench._policies import install
from celeryrun.cli import main

if __name__ == "__main__":
    install(sys.argv.pop(1))
    sys.argv.insert(1, "node")
    main()
