#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: their own and the
# project's. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness2 platform/gentianhoist_platform gentianhoist
PYTHONPATH=target/deps:. python3 -S -c \
    'import review.harness2.fleet, review.harness2.servers'
