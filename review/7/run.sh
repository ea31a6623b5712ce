#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0: the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-2/bad_head
[ -x "$program" ] && [ -x target/pistachiod_platform ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" "$here/record.txt" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
