#!/bin/sh
# The stand-ins need only the Python of the gateway's own environment; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
