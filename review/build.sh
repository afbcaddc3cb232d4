#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that need the standard library only, so each is just compiled.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin_*.py review/[0-9]/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
