#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd -P) || exit 2
root=$(cd "$here/../.." && pwd -P) || exit 2
program="$root/target/review/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/release/merlinfold" ] || exit 2
"$program" "$root" "$here"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
