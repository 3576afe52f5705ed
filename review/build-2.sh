#!/bin/sh
# Build what the scripts of the second review start, after the build of the deploy file.
# All stand-ins are in Python, and need no more than the libraries in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 -c "import review.site2, review.peer_proxy"
