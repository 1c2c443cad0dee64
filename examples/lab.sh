#!/bin/sh
# A fleet whose nodes all take three times as long for 4 s, while clients come back at once: which designs recover? A table
# and, with gnuplot, its curves.
set -eu
cd "$(dirname "$0")/.."
out=example-lab.play
mkdir -p "$out"
build-rig/yoketurn-lab sweep rig/days/slow-fleet.info --set retries=8 --set backoff=0.02 --set faults.slow.amount=3 \
  --vary design=module,random,random-at-once,all-seeing --vary 'sites.*.rate=230,260,280' --seeds 2 --from 13 --to 24 \
  --show utility,in_time,full --keep "$out/plays.jsonl" --csv "$out/table.csv"
if command -v gnuplot >/dev/null; then
  build-rig/yoketurn-lab plot "$out/table.csv" "$out/recovery.svg" --x 'sites.*.rate' --y utility --by design \
    --title "Utility, 4 to 15 s after the cause has gone"
fi
echo "table, plays and, with gnuplot, recovery.svg: $out"
