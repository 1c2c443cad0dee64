#!/bin/sh
# Three sites, six routers with clients; brest is lost with its routers for 6 s and comes back cold. Shows what clients
# got, what each router believed, and the plan made beforehand.
set -eu
cd "$(dirname "$0")/.."
out=example-sites.play
build-rig/yoketurn-rig play rig/days/site-lost.info --router build-rig/yoketurn --folder "$out"
if command -v gnuplot >/dev/null; then build-rig/yoketurn-rig plot rig/days/site-lost.info "$out/record.jsonl" "$out/day.svg"; fi
echo; echo "The plan, told beforehand:"
build-rig/yoketurn-fleet sites plan --config "$out/router-0.json" --loads deploy/loads.info --plot "$out/plan.svg"
echo "record, logs and, with gnuplot, day.svg and plan.svg: $out"
