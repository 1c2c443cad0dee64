#!/usr/bin/env bash
# What one router needs beside 200, 800 and 3,200 data nodes whose capacity together is the same: CPU, peak memory,
# descriptors, connections made and the share of queries answered well. Real processes on loopback, played by the
# rig, which `make rig` builds.
#
# Usage: large_fleet.sh RIG [FOLDER]
# Environment: SIZES (data nodes of each play), RATE (queries a second, of three parts each), SECONDS_PLAYED.
set -euo pipefail
rig=$(realpath "$1")
folder=${2:-$(mktemp -d)}
readonly usual_nodes=200 usual_service=0.02

# A scenario in which a node drains now and again and one comes back cold.
scenario() {
  local nodes=$1
  cat <<SCENARIO
seed 3
seconds ${SECONDS_PLAYED:-30}
shards 12
cells 4
service $(awk "BEGIN { print $usual_service * $nodes / $usual_nodes }")
cold 8
start 0.3
queue 200
verticals { v { parts 3 mix 1 aim 12 deadline 15 } }
sites { a { nodes $nodes routers 1 rate ${RATE:-30} } }
faults { drain { of node:a-1 from 5 for 4 every 8 } lose { of node:a-7 from 10 for 3 } }
SCENARIO
}

# Prints the peak memory in kB, the most descriptors and the CPU ticks of the router that the rig started, once the
# rig has ended.
watch_router() {
  local rig_process=$1 configuration=$2 router='' memory=0 descriptors=0 ticks=0 seen
  while kill -0 "$rig_process" 2>/dev/null; do
    [ -n "$router" ] || router=$(pgrep -f "run --config $configuration" | head -1 || true)
    if [ -n "$router" ] && [ -d "/proc/$router" ]; then
      seen=$(awk '/VmHWM/ { print $2 }' "/proc/$router/status" 2>/dev/null || true)
      memory=${seen:-$memory}
      seen=$(find "/proc/$router/fd" -mindepth 1 2>/dev/null | wc -l)
      descriptors=$((seen > descriptors ? seen : descriptors))
      seen=$(awk '{ print $14 + $15 }' "/proc/$router/stat" 2>/dev/null || true)
      ticks=${seen:-$ticks}
    fi
    sleep 0.2
  done
  echo "$memory $descriptors $ticks"
}

echo '| data nodes | CPU s | peak memory MB | descriptors | connections made | answered well |'
echo '| --- | --- | --- | --- | --- | --- |'
for nodes in ${SIZES:-200 800 3200}; do
  at="$folder/$nodes"
  mkdir -p "$at"
  scenario "$nodes" >"$at/scenario.info"
  "$rig" play "$at/scenario.info" --router "$(dirname "$rig")/yoketurn" --folder "$at/played" >"$at/rig.log" 2>&1 &
  play=$!
  read -r memory descriptors ticks < <(watch_router "$play" "$at/played/router-0.json")
  wait "$play" || { echo "$at/rig.log: $(tail -1 "$at/rig.log")" >&2; exit 1; }
  connections=$(grep -oE '[0-9]+ connections to' "$at/rig.log" | cut -d' ' -f1)
  share=$(grep -oE '[0-9.]+ of the queries' "$at/rig.log" | cut -d' ' -f1)
  awk -v nodes="$nodes" -v cpu="$ticks" -v hertz="$(getconf CLK_TCK)" -v memory="$memory" -v rest="$descriptors | $connections | $share" \
    'BEGIN { printf "| %d | %.2f | %.1f | %s |\n", nodes, cpu / hertz, memory / 1024, rest }'
done
