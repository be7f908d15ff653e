#!/bin/bash
# Runs an experiment against daemons of its own on loopback, each step on empty disks; appends a line of results a step.
# Usage: source/hollow/trial.sh PROGRAM EXPERIMENT RESULTS [CORES]    e.g.  ... target/calicostall workers.json out.jsonl 0-2
set -euo pipefail
program=$(realpath "$1"); experiment=$(realpath "$2"); results=$3; cores=${4:-0-2}
commit=${COMMIT:-$(git rev-parse --short HEAD)}
count() { grep -o '"127\.[0-9.]*:[0-9]*"' <<<"$(tr -d '\n' <"$experiment" | grep -o "\"$1\" *: *\[[^]]*\]")" | wc -l; }
steps=$(grep -o '"workers" *:' "$experiment" | wc -l)
pids=()
stop() { for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; pids=(); }
trap stop EXIT
for ((step = 1; step <= steps; ++step)); do
  folder=$(mktemp -d)
  "$program" hollow "$experiment" --prepare --folder "$folder" --step "$step"
  begin() {
    taskset -c "$cores" "$program" "$1" --settings "$folder/$2.json" ${3:-} 2>"$folder/$2.log" &
    pids+=($!); echo $! >"$folder/$2.pid"
  }
  for ((number = 1; number <= $(count controls); ++number)); do begin control "control-$number" "${CONTROL_OPTIONS:-}"; done
  for ((number = 1; number <= $(count fronts); ++number)); do begin front "front-$number"; done
  sleep 1
  timeout 300 taskset -c "$cores" "$program" hollow "$experiment" --folder "$folder" --step "$step" --commit "$commit" >>"$results" 2>"$folder/hollow.log" || echo "step $step: status $?" >&2
  stop
  if [[ -n ${KEEP:-} ]]; then echo "$folder"; else rm -rf "$folder"; fi
done
