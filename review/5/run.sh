#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=5 110 python3 "$(dirname "$0")/case.py"
