#!/usr/bin/env bash
# What one router needs beside 200, 800 and 3,200 data nodes whose capacity together is the same: CPU, peak memory,
# descriptors, connections made and the share of queries answered well. Real processes on
# loopback, played by the rig; `make rig` builds it. Usage: large_fleet.sh RIG [FOLDER]
set -euo pipefail
rig=$(realpath "$1")
folder=${2:-$(mktemp -d)}
readonly seconds=${SECONDS_PLAYED:-30} usual_nodes=200
mkdir -p "$folder"

# The day: nodes that drain, one that comes back cold, one more shard holder than the router needs.
day() {
  local nodes=$1
  cat <<DAY
seed 3
seconds $seconds
shards 12
cells 4
service $(awk "BEGIN { print 0.02 * $nodes / $usual_nodes }")
cold 8
start 0.3
queue 200
verticals { v { parts 3 mix 1 aim 12 deadline 15 } }
sites { a { nodes $nodes routers 1 rate ${RATE:-30} } }
faults { drain { of node:a-1 from 5 for 4 every 8 } lose { of node:a-7 from 10 for 3 } }
DAY
}

# The largest value of a field of /proc/PID/status, in kB, and the most descriptors, while the process lives.
watch_router() {
  local log=$1 pid=
  local memory=0 descriptors=0 ticks=0
  until pid=$(pgrep -f "run --config $2/router-0.json" | head -1) && [ -n "$pid" ]; do sleep 0.05; done
  while [ -d "/proc/$pid" ]; do
    memory=$(awk '/VmHWM/ { print $2 }' "/proc/$pid/status" 2>/dev/null || echo "$memory")
    local now
    now=$(find "/proc/$pid/fd" -mindepth 1 2>/dev/null | wc -l)
    ((now > descriptors)) && descriptors=$now
    ticks=$(awk '{ print $14 + $15 }' "/proc/$pid/stat" 2>/dev/null || echo "$ticks")
    sleep 0.2
  done
  echo "${memory:-0} $descriptors ${ticks:-0}" >"$log"
}

printf '| data nodes | CPU s | peak memory MB | descriptors | connections made | answered well |\n| --- | --- | --- | --- | --- | --- |\n'
for nodes in ${SIZES:-200 800 3200}; do
  at="$folder/$nodes"
  mkdir -p "$at"
  day "$nodes" >"$at/day.info"
  watch_router "$at/router.txt" "$at/played" &
  watcher=$!
  "$rig" play "$at/day.info" --router "$(dirname "$rig")/yoketurn" --folder "$at/played" >"$at/rig.log" 2>&1 || echo "the rig found: $(tail -3 "$at/rig.log")" >&2
  wait "$watcher"
  read -r memory descriptors ticks <"$at/router.txt"
  connections=$(grep -oE '[0-9]+ connections to' "$at/rig.log" | cut -d' ' -f1)
  share=$(grep -oE '[0-9.]+ of the queries' "$at/rig.log" | cut -d' ' -f1)
  printf '| %s | %.2f | %.1f | %s | %s | %s |\n' "$nodes" "$(awk "BEGIN { print $ticks / $(getconf CLK_TCK) }")" \
    "$(awk "BEGIN { print $memory / 1024 }")" "$descriptors" "$connections" "$share"
done
