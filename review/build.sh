#!/bin/sh
# Builds the stand-ins of the review's cases. They use the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off go build -buildvcs=false -o bin/ ./stand
