#!/bin/sh
# Builds what the cases 6 to 10 start beside the program. Their stand-ins are Python scripts that need nothing beyond
# the standard library, so this only checks that they can be run; it writes nothing.
set -e
cd "$(dirname "$0")"
for file in tools-2/standins.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/release/curlewdeck
