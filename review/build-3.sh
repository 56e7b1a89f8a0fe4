#!/bin/sh
# Builds what the scripts of the third review start beside the build of the deploy file. The stand-ins are Python.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast; ast.parse(open("review/standins_3.py", encoding="utf-8").read())'
