#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They are Python programs of the
# standard library: nothing is compiled, only checked to parse.
cd "$(dirname "$0")" || exit 1
for file in standins-3/*.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
