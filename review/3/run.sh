#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside it.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/pistachiod_platform ] || exit 2
exec python3 -B case.py
