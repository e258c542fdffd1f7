#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are scripts for Python 3 (3.9 or later) and use its standard
# library alone, so nothing is compiled into the tree; this only checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib-2/*.py [6-9]/*.py 10/*.py <<'PY'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    if "*" not in path:
        with open(path, encoding="utf-8") as file:
            ast.parse(file.read(), path)
PY
