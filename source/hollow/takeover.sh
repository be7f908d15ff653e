#!/bin/bash
# Kills the owner while an experiment runs and tells how long the takeover took and how many holds lapsed.
# Usage: source/hollow/takeover.sh PROGRAM EXPERIMENT SECONDS [control's options]; three controls, one step.
set -euo pipefail
program=$(realpath "$1"); experiment=$(realpath "$2"); after=$3; shift 3
folder=$(mktemp -d); pids=()
trap 'for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done' EXIT
"$program" hollow "$experiment" --prepare --folder "$folder"
for place in 1 2 3; do
  "$program" control --settings "$folder/control-$place.json" "$@" 2>"$folder/control-$place.log" &
  pids+=($!); echo $! >"$folder/control-$place.pid"
done
sleep 1
"$program" hollow "$experiment" --folder "$folder" >"$folder/results.jsonl" 2>"$folder/hollow.log" & rig=$!
sleep "$after"
kill -9 "$(cat "$folder/control-1.pid")"
echo "owner killed at $(cut -d' ' -f1 /proc/uptime)"
wait "$rig" || true
grep -h "owner under" "$folder"/control-[23].log || echo "no new owner"
grep -h -o "runs_lapsed=[0-9]*" "$folder"/control-[23].log | tail -1 || echo "no run lapsed"
echo "$folder"
