#!/bin/sh
# Runs one case: standin/run.sh N. Used by review/N/run.sh. TROUBLE=0: without the disruption.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# The driver ends itself after 110 s, and the routers end with it. It ends at once when this script does, however that comes.
case=$1
here=$(cd "$(dirname "$0")/.." && pwd)
root=$(cd "$here/.." && pwd)
[ -x "$here/build/case$case" ] || { echo "review/build.sh has not run"; exit 2; }
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] || { echo "deploy/balancer.toml names no run"; exit 2; }
folder=$(mktemp -d) || exit 2
driver=
finish() {
  if [ -n "$driver" ]; then kill -KILL "$driver" 2>/dev/null; wait "$driver" 2>/dev/null; fi
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
"$here/build/case$case" "$here/$case/record.txt" "$root" "$run" "$folder" &
driver=$!
wait "$driver"
code=$?
driver=
[ -n "${KEEP_LOG:-}" ] && cat "$folder"/*.log
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
