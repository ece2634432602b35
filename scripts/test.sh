#!/usr/bin/env bash
# Builds everything and runs the tests (written with check) under ctest.  The
# arguments are passed to ctest.
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
"$here/scripts/setup.sh"
cd "$here/build"
ctest --output-on-failure -j 4 "$@"
