#!/bin/bash
# Copies the files that the operators' test bench expects next to the site variants in this directory. The variable KIT is
# the directory of the operators' kit from which they are copied.
set -euo pipefail
cd "$(dirname "$0")"
kit=${KIT:-../../../given/kit}
cp -f "$kit"/more/mass/other/{wire.json,real.json,unlock.txt} .
