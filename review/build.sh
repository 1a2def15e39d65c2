#!/bin/sh
# The stand-ins of the cases are in Python's standard library and need no build; this checks that they can be read, and
# that the deploy file's build has left the program that the cases start.
set -e
cd "$(dirname "$0")"
python3 - lib.py [0-9]/case.py <<'PYTHON'
import ast, sys
for file in sys.argv[1:]:
    ast.parse(open(file).read(), file)
PYTHON
test -x ../target/release/curlewdeck
