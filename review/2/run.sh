#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
cd "$root" || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
# -B: no compiled files beside the cases.
PYTHONPATH="$root/target/deps:$root:$root/review" \
    exec python3 -B "$here/case.py"
