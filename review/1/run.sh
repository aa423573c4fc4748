#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
exec timeout 110 python3 "$(dirname "$0")/scenario.py"
