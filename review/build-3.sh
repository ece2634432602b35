#!/usr/bin/env bash
# Builds the stand-ins of cases 9 to 13.  They are Python, so there is nothing
# to compile; checks that they can be read.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
for f in "$here"/standins-3/*.py "$here"/{9,10,11,12,13}/case.py; do
  if [ -e "$f" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
  fi
done
