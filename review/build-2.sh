#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python on the standard
# library alone, run by the interpreter of that build, so there is only to look whether it can read them.
cd "$(dirname "$0")" || exit 1
for file in common-2/standins.py common-2/machala.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
