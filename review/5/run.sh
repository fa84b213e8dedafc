#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sardinepath-review ] || { echo "run review/build.sh first" >&2; exit 2; }
# The program and the gateways that it starts are a process group of their own, which ends with this
# script even if that is interrupted.
set -m
target/release/sardinepath-review early-runner review/5/record.txt &
program=$!
trap 'kill -KILL -- "-$program" 2>/dev/null; rm -rf "${TMPDIR:-/tmp}/sardinepath-review-$program"; exit 2' TERM INT HUP
wait "$program"
result=$?
kill -KILL -- "-$program" 2>/dev/null
exit "$result"
