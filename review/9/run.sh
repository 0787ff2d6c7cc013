#!/bin/bash
# Plays the case on loopback addresses. See claim.txt. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] || { echo "target/review2 is missing: run review/build-2.sh" >&2; exit 2; }
exec timeout -k 5 115 target/review2 -case cold -folder review/9 -repo .
