#!/bin/sh
# A request that crashes its servers, before and after a rolling restart; see claim.txt.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
