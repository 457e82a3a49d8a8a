#!/usr/bin/env bash
# Runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: undisturbed.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/bin/pepperlug-platform
case_program=$root/target/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x "$case_program" ] || { echo "build it first: the deploy file's build, review/build-2.sh" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
TROUBLE=${TROUBLE:-1} timeout --kill-after=5 110 "$case_program" "$program" "$folder" "$here/record.txt"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp -r "$folder" "$KEEP_LOGS"
[ "$code" -le 2 ] || code=2
exit "$code"
