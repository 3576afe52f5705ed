#!/bin/bash
# A stream that is sent late in a planned stop is passed on and cut at the exit.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 review/4/case.py
