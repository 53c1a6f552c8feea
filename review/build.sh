#!/bin/sh
# Builds the stand-ins of the review's scripts. It needs no network.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-stand .
