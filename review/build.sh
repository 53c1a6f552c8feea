#!/bin/sh
# Builds the stand-ins of the review's scripts as a test binary. It needs no network.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go test -c -o ../../target/review-stand .
