#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$folder/../../target/deps" exec python3 "$folder/case.py" "$folder"
