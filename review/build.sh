#!/bin/sh
# Builds what the cases start beside the gateway. The stand-ins are Python files that run with the standard
# library alone, on the interpreter of the deploy file's build; they are compiled here to find errors early.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
PYTHONDONTWRITEBYTECODE= .venv/bin/python -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
'
