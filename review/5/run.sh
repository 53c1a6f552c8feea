#!/bin/sh
# Plays the case "reservations" of review/stand; review/build.sh builds it. TROUBLE=0 leaves the
# disruption out. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galena-fleet ] && [ -x target/review-stand ] || { echo "build first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-stand reservations "$PWD" review/5
