#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python modules, those of the
# project are in target/deps after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/sassafrashold/standins
python3 -m compileall -q review
PYTHONPATH=target/deps:review python3 -S -c 'import standins.world, standins.client'
