#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sardinepath ] && [ -x target/review3/lab ] || exit 2
exec target/review3/lab failing review/15
