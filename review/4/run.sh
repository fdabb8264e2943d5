#!/bin/bash
# With TROUBLE=0 the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec "target/review/case$(basename "$folder")" "$folder"
