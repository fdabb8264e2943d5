#!/bin/sh
# Builds the stand-ins of the cases from 11 on, or of those that are named; they need the standard
# library only. run.sh calls it for its case if that is not built.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
[ $# -gt 0 ] || set -- 11 12 13 14 15
for case in "$@"; do
    rustc --edition 2024 -O -o "target/review-3/$case" "review/$case/main.rs" || exit 2
done
