#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 the case does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH=../common
exec timeout --preserve-status -k 5 110 python3 ./case.py
