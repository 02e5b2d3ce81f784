#!/usr/bin/env bash
# Runs the case, see claim.txt; what was sent, answered and run goes to record.txt beside this file.
# With TROUBLE=0 no engine is killed. Exit status 1: the rule was broken, 0: it held, 2: not run.
exec python3 -B "$(dirname "$0")/case.py"
