#!/bin/bash
# Builds the stand-ins that the scripts start: compiles them, and checks that they can be imported
# with nothing but the libraries of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 - <<'END'
import pathlib

for folder in ("celeryrun", "standins", "soak", "review"):
    for path in pathlib.Path(folder).rglob("*.py"):
        compile(path.read_bytes(), str(path), "exec")
END
python3 -c "import celeryrun.gateway, review.support, review.runner_process, soak._proxy, standins.runner"
