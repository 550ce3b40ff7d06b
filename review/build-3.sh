#!/bin/sh
# Builds the stand-ins of the cases from 11 on, after the build of the deploy
# file. They are Python and use its libraries, so it is enough to load them.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/review:$PWD/target/deps"
exec python3 -c 'import system_3, fakes.platform_caller, fakes.platform_list'
