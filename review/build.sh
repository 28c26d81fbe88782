#!/bin/sh
# Builds the stand-ins that the cases start.  They are Python files that use the standard library alone, so
# this only checks that each of them compiles, and writes nothing.
cd "$(dirname "$0")" || exit 1
for file in *.py */*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
