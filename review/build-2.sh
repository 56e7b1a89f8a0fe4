#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can be used. They are Python programs of the standard library alone, so
# there is nothing to compile; the project's own program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
cases=([6-9]/case.py 10*/case.py)
python3 - standins_2.py "${cases[@]}" <<'END'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
