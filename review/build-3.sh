#!/bin/bash
# Builds what the scripts of the third review start: the stand-ins are Python, so they are compiled
# and imported once. The build of the deploy file comes first, which fetches the libraries.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q review/kit3.py review/store3.py review/1[1-5] standins
python3 -c "import review.kit3, review.store3, standins.site"
