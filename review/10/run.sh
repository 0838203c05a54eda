#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-2 ] || { echo "build with the deploy file and review/build-2.sh first"; exit 2; }
exec bin/review-2 moved . review/10/record.txt
