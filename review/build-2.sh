#!/bin/sh
# Builds the stand-ins and the drivers of cases 6 and up. It needs no network: they use the standard library alone.
set -e
cd "$(dirname "$0")/stand-2"
mkdir -p ../../bin
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../bin/review-2 .
