#!/usr/bin/env bash
# Runs the case; the builds of the deploy file and of review/build.sh come first. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run to its end.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2

rm -f record.txt
java -cp ../../target/review Main changer-killed ../.. record.txt &
program=$!
# The program ends the processes that it started.
trap 'kill "$program"; wait "$program"; exit 2' INT TERM
wait "$program"
result=$?

# A virtual machine that fails by itself also exits with 1, but leaves no result in the record.
grep -q "ended exitCode=$result\$" record.txt 2>/dev/null || exit 2
exit "$result"
