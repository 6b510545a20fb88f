#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 100 target/review/standin watchers-restarted review/2/record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
