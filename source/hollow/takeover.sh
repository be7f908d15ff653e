#!/bin/bash
# Kills the leader while an experiment runs and prints how long the takeover took and how many leases expired.
# Usage: source/hollow/takeover.sh PROGRAM EXPERIMENT SECONDS [control's options]; three controls, one step.
set -euo pipefail
program=$(realpath "$1"); experiment=$(realpath "$2"); after=$3; shift 3
folder=$(mktemp -d); pids=()
trap 'for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done' EXIT
"$program" hollow "$experiment" --prepare --folder "$folder"
for number in 1 2 3; do
  "$program" control --settings "$folder/control-$number.json" "$@" 2>"$folder/control-$number.log" &
  pids+=($!); echo $! >"$folder/control-$number.pid"
done
sleep 1
"$program" hollow "$experiment" --folder "$folder" >"$folder/results.jsonl" 2>"$folder/hollow.log" & simulator=$!
sleep "$after"
kill -9 "$(cat "$folder/control-1.pid")"
echo "leader killed at $(cut -d' ' -f1 /proc/uptime)"
wait "$simulator" || true
grep -h "owner under" "$folder"/control-[23].log || echo "no new leader"
grep -h -o "runs_lapsed=[0-9]*" "$folder"/control-[23].log | tail -1 || echo "no lease expired"
echo "$folder"
