#!/usr/bin/env bash
# Plays the case of this folder. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
case=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
program=target/review/review-case
[ -x "$program" ] && [ -x target/release/tidelatch ] || { echo "build the service and run review/build.sh first"; exit 2; }
set -m
"$program" "$case" "review/$case/record.txt" &
child=$!
set +m
# The processes that the driver starts are in its process group.
trap 'kill -KILL -- "-$child" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
