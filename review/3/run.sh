#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build.sh. What was sent, answered and run goes to record.txt.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/stand maintenance . review/3/record.txt
