#!/usr/bin/env bash
# Checks that all that the scripts of review/6 to review/10 start is there, and
# compiles the stand-ins: those of the project (in target/deps, from the build
# of the deploy file) and those of review/standins_2.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -S -m compileall -q target/deps/sassafrashold/standins \
  review/standins_2
python3 -S -c "import sassafrashold.platform.process"
python3 -S -c "import sassafrashold.standins.objects_store"
