#!/usr/bin/env bash
# The connection on which a worker says goodbye is reset after the agent has read the call.
here="$(cd "$(dirname "$0")" && pwd)"
source "$here/../common.sh"
sides=8 job=00000000000000d1

start_deployment $sides 1
# The worker on side 1 reaches its agent through a proxy, which can reset a connection.
"$tool" proxy --listen "$net.3.1:$proxy_port" --to "$net.3.1:$control_port" --reset "$trouble" \
    >> "$work/proxy.log" 2>&1 &
pids[proxy]=$!
start_worker 1 i-1 --agent "$net.3.1:$proxy_port"
for n in $(seq 2 $sides); do start_worker "$n" "i-$n"; done
sleep 2
# The tasks work longer than the worker still serves.
submit 1 "$job" '{"task_spec":"work_ms=15000","steps":[{"count":16,"cpu":1000,"mem_mb":500,"estimate_ms":15000}]}'
started() { [ "$(count '"event":"start".*"run":1,')" -ge 16 ]; }
wait_for 10 started || cannot_run "not all tasks started"
[ "$(count '"event":"start".*"worker":"i-1"')" -ge 1 ] || cannot_run "no task on the worker that leaves"
sleep 0.5
# It reports that it drains, serves for 2 s after the ack, says goodbye and ends, 3 s later if the
# goodbye gets no answer.
signal worker1 USR1
gone() { [ "$(count '"event":"gone"')" -ge 1 ]; }
wait_for 15 gone || cannot_run "the worker did not leave"
forget worker1
sleep 1
"$tool" twice --record "$record"
