#!/bin/sh
# Six routers under an auditor. The agent of brest-0 falls silent under its heartbeats: it tells no change, and answers with its
# old list whoever asks. The audit finds the router, orders it to ask again and then to follow another agent, and shows how
# each list spread.
set -eu
cd "$(dirname "$0")/.."
out=example-audit.play
build-rig/yoketurn-rig play rig/days/audit-spare.info --router build-rig/yoketurn --folder "$out"
audit="build-rig/yoketurn-fleet audit --store $out/audit-0.db"
echo; echo "Who was behind, and what was ordered:"; $audit stragglers
echo; echo "Who sent to vannes-1, which drains from second 6 on:"; $audit node vannes-1
echo; echo "How list 2, which says so, came to all:"; $audit version 2
echo; $audit plot -o "$out/spread.svg"
echo "record, logs, store and spread.svg: $out"
