#!/usr/bin/env bash
# Runs the case; the builds of the deploy file and of review/build.sh come first. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"

exec java -cp ../../target/review Main statement-texts ../.. record.txt
