#!/bin/bash
# Builds the stand-ins of the cases. They are written in Python and need only its standard library, so
# that building them is compiling them to byte code, which shows that the interpreter fits.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is needed"; exit 1; }
python3 - <<'P'
import pathlib
import sys
assert sys.version_info >= (3, 9), "python3 is too old"
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
P
