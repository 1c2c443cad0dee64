#!/bin/sh
# A router with a time line, four toy nodes and clients; s-2 stalls for 4 s. Shows its line and draws it.
set -eu
cd "$(dirname "$0")/.."
trap 'kill 0' INT TERM
build/yoketurn_toy --ask 40 --trouble "${1:-stall}" --after 6 --length 4 --ends 14 &
toy=$!
RELAY_CONFIG=examples/config.json build/yoketurn run --operators examples/operators.info >timeline-example.log &
router=$!
echo "waiting 13 s: node s-2 stalls from second 6 to 10"
sleep 13
line="build/yoketurn timeline --router 127.0.0.1:18090"
$line nodes
echo; echo "Departures:"
$line departures
echo; echo "The end of the story of s-2:"
$line show s-2 | tail -n 15
if command -v gnuplot >/dev/null; then $line plot s-2 -o timeline-example.svg; else echo "install gnuplot-nox to draw it"; fi
kill $router
wait $router || true
wait $toy  # its ports are free for the next run
