#!/usr/bin/env bash
# Exit 0: the rule held; 1: it was broken; 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH=../../target/deps:../standins_2
exec python3 -S case.py
