#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.."
export PYTHONPATH=target/deps:src:review PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=2 118 python3 "$case/case.py"
