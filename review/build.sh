#!/bin/sh
# The stand-ins are plain Python of the standard library: compiling them is all.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins
