#!/bin/sh
# Builds the stand-ins of the cases. They need only Python's standard library
# (3.11 or later); this compiles them into a temporary folder and reports
# errors of syntax.
set -e
cd "$(dirname "$0")"
folder=$(mktemp -d)
for file in standins/*.py [1-5]/case.py; do
    [ -f "$file" ] || continue
    python3 -c "import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)" \
        "$file" "$folder/checked.pyc"
done
rm -r "$folder"
