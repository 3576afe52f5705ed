#!/bin/bash
# Builds the stand-ins that the scripts start: compiles them, and checks that they can be imported
# with nothing but the libraries of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q celeryrun standins review
python3 -c "import celeryrun.gateway, review.support, review.runner_process, standins.runner"
