#!/usr/bin/env bash
# Build and run every test (check, under ctest).
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
"$here/scripts/setup.sh"
cd "$here/build"
ctest --output-on-failure -j 4 "$@"
