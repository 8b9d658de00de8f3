#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$folder/../.." || exit 2
if [[ ! -f target/hibiscusreach.jar || ! -f target/review-2/DepartedReplica.class ]]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec java -Xmx256m -cp target/review-2 DepartedReplica "$folder/record.txt"
