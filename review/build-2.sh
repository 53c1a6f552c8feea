#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later, and the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -ldflags=-linkmode=external -o target/ ./cmd/galena-fleet
(cd review/stand2 && GOWORK=off go test -c -o ../../target/stand2 .)
