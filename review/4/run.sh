#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the freeze of the leader.
exec python3 -B "$(dirname "$0")/case.py"
