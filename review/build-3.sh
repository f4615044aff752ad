#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python files that use the
# standard library only, so they are compiled and nothing is fetched.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/common-3/world.py review/1[1-5]/case.py
test -d target/deps
