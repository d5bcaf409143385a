#!/usr/bin/env bash
# Plays this case; see claim.txt. Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x target/release/merlinfold ] || { echo "build first: see review/build-2.sh"; exit 2; }
exec "$program" "$here"
