#!/usr/bin/env bash
# TROUBLE=0 plays the case without its disturbance.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
exec timeout --preserve-status --kill-after=4 112 python3 case.py
