#!/usr/bin/env bash
# Exit status 1: a request inside another one ran. TROUBLE=0: the framing header is well formed.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 110 python3 "$(dirname "$0")/run.py"  # writes record.txt
