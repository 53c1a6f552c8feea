#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start, as a test binary.
set -eu
cd "$(dirname "$0")/stand3"
mkdir -p ../../target
GOWORK=off GOFLAGS="${GOFLAGS:-} -buildvcs=false" go test -c -o ../../target/stand3 .
