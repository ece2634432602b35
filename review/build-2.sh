#!/bin/sh
# Checks the stand-ins of cases 4 to 8, which are Python and need no build:
# Python 3.11 or later with its standard library is enough.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py [4-8]/case.py <<'EOF'
import sys
if sys.version_info < (3, 11):
    sys.exit("build-2.sh: Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
EOF
