#!/bin/sh
# Builds the stand-ins of the second review's cases: Python without dependencies, so they are only compiled, to
# find an error before a case starts. Needs the build of deploy/balancer.toml, and no network.
set -eu
cd "$(dirname "$0")"
test -x ../.venv/bin/python
for source in stage2.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    test -f "$source" || continue
    ../.venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
