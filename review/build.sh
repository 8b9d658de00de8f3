#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"

rm -rf ../target/review
mkdir -p ../target/review
javac --release 17 -Xlint:all -d ../target/review standins/*.java
