#!/usr/bin/env bash
# Guards against masticctl explain naming no cause, or a wrong one, for a job
# that was not completed: an operator has only the job's id and the instances'
# logs.  scripts/explain.sh causes three such outcomes and explains each.
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
log=$(mktemp -d)
out=$("$here/scripts/explain.sh" "$log" 2>&1) || { echo "$out"; exit 1; }
failed=0
# Counts a failure if no line of the output matches the pattern $1.
want () {
  if ! grep -qE "$1" <<<"$out"; then
    echo "missing: $1"
    failed=$((failed + 1))
  fi
}
want '^refused: status 503'
want '^cause: refused: would come too late\. Its 24 tasks found 0 of 8 places free'
want '^lost: status 502'
want '^cause: its outcome was out of sight: instance node[12]\..*, which ran task .*, was lost'
want '^sent again: status 200'
want '^cause: completed after'
want '^failed: status 200'
want '^cause: task 0\.0 failed in every attempt.* failed 3 tasks in a row, with good reports'
if [ $failed -gt 0 ]; then
  echo "$out"
  echo "$((8 - failed)) passed, $failed failed"
  exit 1
fi
rm -rf "$log"
echo "8 passed, 0 failed"
