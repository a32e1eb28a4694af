#!/usr/bin/env bash
# Runs the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/goldcrestwick ] && [ -x target/review2/7 ] || exit 2
exec target/review2/7 review/7/record.txt
