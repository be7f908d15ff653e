#!/bin/bash
# Orders of operators against three control daemons of its own on loopback; prints one line of figures a part.
# Usage: source/hollow/orders_trial.sh PROGRAM [CHANGES]    e.g.  source/hollow/orders_trial.sh target/calicostall 300
# It starts the daemons on 127.0.0.2 to .4, ends only those, and needs curl. KEEP=1 leaves logs and disks in place.
set -euo pipefail
program=$(realpath "$1"); changes=${2:-300}
folder=$(mktemp -d); control_port=8166; replica_port=7720
declare -A pids
address() { echo "127.0.0.$(($1 + 1)):$control_port"; }

prepare() {  # settings of daemon $1
  cat >"$folder/control-$1.json" <<JSON
{"node_name": "control-$1", "role": "control", "ip": "127.0.0.$(($1 + 1))", "zone": "zone-$1",
 "bind_addrs": {"control": "$(address "$1")"}, "port_range": [$replica_port, $((replica_port + 15))],
 "seeds": ["$(address 1)", "$(address 2)", "$(address 3)"], "bootstrap": true, "quorum_member": true,
 "data_dir": "$folder/control-$1", "limits": {"disk_mb": 2048, "memory_mb": 4096, "max_fds": 20000}}
JSON
}
begin() { "$program" control --settings "$folder/control-$1.json" 2>>"$folder/control-$1.log" & pids[$1]=$!; }
finish() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [[ -n ${KEEP:-} ]]; then echo "$folder"; else rm -rf "$folder"; fi
}
trap finish EXIT

text() {  # a configuration with revision $1 and note $2
  echo "{\"revision\":$1,\"note\":\"$2\",\"services\":[{\"name\":\"svc\"}],\"routes\":[{\"host\":\"jobs.example\",\"path_prefix\":\"/a/\",\"service\":\"svc\"}]}"
}
# Sends revision $2 on base $3 to daemon $1 with note $4; prints the code (000: no answer in two seconds) and the milliseconds.
put() {
  curl -s -m 2 -o /dev/null -w '%{http_code} %{time_total}\n' -X PUT -H "If-Match: $3" \
    --data-binary "$(text "$2" "${4:-a}")" "http://$(address "$1")/config" | awk '{printf "%s %.1f\n", $1, $2 * 1000}' || true
}
# As an operator does: the same order again, at the next daemon, until its answer is clear. Prints each code.
put_until_clear() {
  local daemon=$1 answer
  for ((attempt = 0; attempt < 60; ++attempt)); do
    answer=$(put "$daemon" "$2" "$3" "${4:-a}")
    echo "$answer"
    [[ $answer == 200* || $answer == 4* ]] && return
    daemon=$((daemon % 3 + 1)); sleep 0.05
  done
}
codes() { cut -d' ' -f1 | sort | uniq -c | awk '{printf "%s%s x %s", (NR > 1 ? ", " : ""), $1, $2} END {print ""}'; }

for daemon in 1 2 3; do prepare "$daemon"; begin "$daemon"; done
echo "first change: $(put_until_clear 1 1 0 | codes)"
sleep 2  # the first election is over, and every daemon has heard of it

: >"$folder/changes"; : >"$folder/took"
for ((revision = 2; revision <= changes + 1; ++revision)); do
  began=$(date +%s%N)
  put_until_clear $((revision % 3 + 1)) "$revision" $((revision - 1)) >"$folder/change"
  [[ $(wc -l <"$folder/change") == 1 ]] || sed "s/^/revision $revision: /" "$folder/change" >>"$folder/unclear"
  cat "$folder/change" >>"$folder/changes"
  if [[ $(wc -l <"$folder/change") == 1 ]]; then cut -d' ' -f2 "$folder/change"; else echo $((($(date +%s%N) - began) / 1000000)); fi >>"$folder/took"
done
echo "$changes changes in a row, all daemons in turn, each sent until its answer is clear: $(codes <"$folder/changes"); $(sort -n "$folder/took" |
  awk '{each[NR] = $1} END {printf "median %.1f ms, 99%% %.1f ms, most %.1f ms", each[int((NR + 1) / 2)], each[int(NR * 0.99 + 0.5)], each[NR]}')"
echo "owners so far: $(cat "$folder"/control-*.log | grep -c 'owner under' || true), too slow: $(cat "$folder"/control-*.log | grep -c 'too slow' || true)"
last=$((changes + 1))

echo "revision 2 sent again after revision $last: $(for daemon in 1 2 3; do put "$daemon" 2 1; done | codes)"
echo "another text under revision 2 on base 1: $(for daemon in 1 2 3; do put "$daemon" 2 1 b; done | codes)"

kill -TERM "${pids[3]}"; wait "${pids[3]}" 2>/dev/null || true
begin 3
started=$(date +%s%N)
until [[ $(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(address 3)/config") == 200 ]]; do
  (($(date +%s%N) - started < 20000000000)) || break
  sleep 0.01
done
echo "a restarted member answers after $((($(date +%s%N) - started) / 1000000)) ms"

# The first daemon is the owner of a calm core. It stands still for 3 s; four orders on each base all the while.
flow() {
  local end=$((SECONDS + 12)) revision=$last
  while ((SECONDS < end)); do
    for rival in 1 2 3 4; do put_until_clear $((rival % 2 + 2)) $((revision + 1)) "$revision" "rival $rival" >"$folder/rival-$rival" & waits[rival]=$!; done
    wait "${waits[@]}"
    cat "$folder"/rival-[1-4] >>"$folder/flow"
    tail -qn1 "$folder"/rival-[1-4] | cut -d' ' -f1 | grep -c '^200$' >>"$folder/winners" || true
    # Each order once more, as it was: the one that was taken gets 200, the others 412.
    for rival in 1 2 3 4; do
      before=$(tail -n1 "$folder/rival-$rival" | cut -d' ' -f1)
      echo "$before then $(put $((rival % 3 + 1)) $((revision + 1)) "$revision" "rival $rival" | cut -d' ' -f1)" >>"$folder/again"
    done
    revision=$((revision + 1))
  done
}
: >"$folder/flow"; : >"$folder/again"; : >"$folder/winners"; declare -a waits
flow & flow_pid=$!
sleep 3; kill -STOP "${pids[1]}"; sleep 3; kill -CONT "${pids[1]}"
wait "$flow_pid"
echo "four rivals on each base, the owner frozen for 3 s: $(codes <"$folder/flow"); bases $(wc -l <"$folder/winners"), with exactly one taken $(grep -c '^1$' "$folder/winners" || true)"
echo "each sent once more: $(sort "$folder/again" | uniq -c | awk '{printf "%s%s x %s then %s", (NR > 1 ? ", " : ""), $1, $2, $4} END {print ""}')"
echo "503 and 504 by time are in the daemons' logs; gives way: $(cat "$folder"/control-*.log | grep -c 'gives way' || true), owners: $(cat "$folder"/control-*.log | grep -c 'owner under' || true)"
