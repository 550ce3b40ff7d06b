#!/bin/sh
# The stand-ins are Python files of the project: they are only compiled.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" exec python3 -m compileall -q \
  fakes bench review/system_2.py review/6 review/7 review/8
