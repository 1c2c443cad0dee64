#!/bin/sh
# run.sh FOLDER: plays the case of this folder. Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0: without the disruption.
folder=$1
root=$(cd "$folder/../.." && pwd)
program="$root/build/review-2/case$(basename "$folder")"
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
[ -x "$program" ] || { echo "run review/build-2.sh first"; exit 2; }
timeout -k 1 115 "$program" "$root" "$folder" "$temporary" &
running=$!
trap 'kill "$running"; wait "$running"; rm -rf "$temporary"; exit 2' INT TERM
wait "$running"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
