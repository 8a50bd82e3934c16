#!/bin/sh
# Checks the stand-ins and the cases. They need no build: they are Python 3.11 with its standard library
# alone, which comes with the packages of the deploy file (libglib2.0-dev depends on python3).
set -e
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 -B - standins/*.py [0-9]/*.py <<'CHECK'
import ast
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print("%d files checked" % (len(sys.argv) - 1))
CHECK
