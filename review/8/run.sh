#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export ROOT="$PWD" RECORD="$PWD/review/8/record.txt"
for program in target/release/birchreach-proxy target/review-2/cases; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/cases repeated-id
