#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that need the standard library only.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins review/[0-9]
