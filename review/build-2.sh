#!/usr/bin/env bash
# Builds what the cases of the second review start beside the program itself: one program for each case, of the standard
# library alone. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 9 10; do
    rustc --edition 2021 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
