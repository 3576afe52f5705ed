#!/bin/bash
# Idempotent requests run on more runners than maxAttempts when silent runners go on.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 review/4/case.py
