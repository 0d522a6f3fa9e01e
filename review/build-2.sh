#!/bin/sh
# Build the stand-ins of the cases 6 to 10. They are Python files without dependencies
# beside the standard library, so this only checks that this Python can compile them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c '
import pathlib, sys
for folder in ("standins", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
        print("compiled", path)
'
