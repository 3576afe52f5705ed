#!/bin/bash
# Streams that one version of a service began go on at another after all gateways were killed.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 review/3/case.py
