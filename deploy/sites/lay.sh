#!/bin/bash
# Lays beside our variants what the bench wants there, from the operators' kit: KIT is its folder.
set -euo pipefail
cd "$(dirname "$0")"
kit=${KIT:-../../../given/kit}
cp -f "$kit"/more/mass/other/{wire.json,real.json,unlock.txt} .
