#!/usr/bin/env bash
# Exit status: 1 rule broken, 0 held, 2 could not run. TROUBLE=0: no disruption.
set -euo pipefail
case=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case/../.." && pwd)
cd "$root"
test -d target/deps/sassafrashold || exit 2
PYTHONPATH="$root/target/deps:$root/review" exec python3 -S "$case/scenario.py"
