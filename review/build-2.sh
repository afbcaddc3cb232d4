#!/bin/sh
# Checks that the stand-ins and the cases of the second review compile with the interpreter of the build.
# They need nothing beside the standard library, so there is nothing else to build.
cd "$(dirname "$0")/.." || exit 2
for file in review/harness_2.py review/bad_clients_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    if [ -f "$file" ]; then
        .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
    fi
done
