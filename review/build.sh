#!/usr/bin/env bash
# The stand-ins are Python (standard library only); this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPATH=standins python3 -B -c "import setup, world"
