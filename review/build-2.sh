#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the planner: their stand-ins, which need the
# standard library alone. The planner itself is built by `build` of deploy/balancer.toml, before this.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9 review/10
