#!/usr/bin/env bash
# Builds the programs that the scripts of review/6 to review/10 start, into
# target/review-2. The daemon itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
build() {
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 \
    "review/standins-2/$1.cpp" -o "$out/$2" -pthread
}
build TwoHolders two_holders         # review/6
build BadHead bad_head               # review/7
build Excluded excluded              # review/8
build NeverAgain never_again         # review/9
build LeaveForgotten leave_forgotten # review/10
