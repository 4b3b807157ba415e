#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
CASE="$PWD" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/../common-2" \
    exec python3 case.py
