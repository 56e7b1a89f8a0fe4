#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the freezes of the leader and the loss of its disk.
exec python3 -B "$(dirname "$0")/case.py"
