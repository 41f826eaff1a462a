#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start: compiles them, and checks
# that they load with the libraries of the deploy file's build (target/deps).
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q src/bilberryglade_stand_ins review/stand_in_*.py
PYTHONPATH=target/deps:src:review python3 -c 'import stand_in_deployment, stand_in_uploads'
