#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
export CASE_FOLDER=review/10
exec timeout -k 5 115 target/review-2/case10
