#!/bin/sh
# Builds the stand-ins of all cases. They are Python files that need the standard library alone, and run with
# the interpreter that `build` of the deploy file leaves in .venv; the planner needs nothing beyond that build.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins.py [0-9]*
