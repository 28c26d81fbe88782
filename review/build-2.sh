#!/bin/sh
# Prepares what the cases 6 to 10 start: their stand-ins are Python, on the environment of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/play.py review/*/case.py
