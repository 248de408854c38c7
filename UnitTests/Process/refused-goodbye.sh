#!/usr/bin/env bash
# Guards against tasks that run twice because a worker gets no answer to its goodbye and its path refuses connections
# for the seconds in which it still works.
#   [LOGS=folder] GUAVASHIFT_BIN=folder refused-goodbye.sh
source "$(dirname "$0")/fleet.sh"
job_id=00000000000000c1
tasks=24

# start_path NAME LISTEN TARGET ARGUMENTS...: starts a proxy that follows the file path-NAME
start_path() {
    "$bin/guavashift-path-proxy" --listen "$2" --to "$3" --state "$work/path-$1" "${@:4}" >> "$work/path-$1.log" 2>&1 &
    pids[path-$1]=$!
}
set_path() { echo "$2" > "$work/path-$1"; signal "path-$1" HUP; }
# Only agent 1 reaches its worker, and only worker 1 its agent, through such proxies.
start_proxy() {
    if [ "$1" = 1 ]; then start_path worker "$net.3.1:$proxy_port" "$net.3.1:$app_port"; return; fi
    "$tool" proxy --listen "$net.3.$1:$proxy_port" --to "$net.3.$1:$app_port" >> "$work/proxy$1.log" 2>&1 &
    pids[proxy$1]=$!
}
reports_port=$((proxy_port + 1))
starts_carried_out() { count "\"event\":\"start\".*\"status\":200,\"task\":\"$job_id.*\"worker\":\"${1:-}"; }
has_starts() { [ "$(starts_carried_out)" -ge $tasks ]; }
has_event() { [ "$(count "\"event\":\"$1\".*\"worker\":\"i-1\"")" -gt 0 ]; }

start_deployment 3 1
start_path agent "$net.3.1:$reports_port" "$net.3.1:$control_port" --latest-answer-ms 1000000
for n in 2 3; do start_worker "$n" "i-$n"; done
"$tool" worker --listen "$net.3.1:$app_port" --agent "$net.3.1:$reports_port" --id i-1 --record "$record" \
    >> "$work/worker1.log" 2>&1 &
pids[worker1]=$!
for n in 1 2 3; do wait_for 20 is_held "$n" || cannot_run "worker $n is not polled"; done
for n in 1 2 3; do wait_for 20 grep -q 'event=inventory-sent' "$work/side-$n.log" || cannot_run "agent $n has no session"; done
# Two workers do not hold all tasks.
submit 1 "$job_id" "$(job 9000 $tasks 6000)"
wait_for 5 has_starts || cannot_run "not every task was started"
[ "$(starts_carried_out i-1)" -gt 0 ] || cannot_run "worker 1 got no task"

signal worker1 USR1
wait_for 5 has_event draining-acked || cannot_run "the worker does not leave"
# From here on answers to the worker are held back, so that it ends seconds after its goodbye.
set_path agent late
wait_for 5 grep -q 'event=worker-leaves' "$work/side-1.log" || cannot_run "the agent got no goodbye"
set_path worker refuse
! has_event lease-lapsed || cannot_run "the worker had no lease any more"
wait_for 10 has_event gone || cannot_run "the worker did not end"
wait_for 40 has_state "$job_id" completed || fail "the job is not completed"
"$tool" twice --record "$record" || fail "tasks ran twice"
echo "no task ran twice"
