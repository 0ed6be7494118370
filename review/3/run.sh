#!/bin/sh
# Plays the case once; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
python="$folder/../../.venv/bin/python"
[ -x "$python" ] || exit 2
PYTHONPATH="$folder/.." PYTHONDONTWRITEBYTECODE=1 "$python" "$folder/case.py" "$temporary" &
played=$!
trap 'kill "$played"; wait "$played"; exit 2' TERM INT
wait "$played"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
