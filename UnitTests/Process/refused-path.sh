#!/usr/bin/env bash
# Guards against tasks that run twice because the path to a worker refuses connections while the worker runs on.
#   [LOGS=folder] GUAVASHIFT_BIN=folder refused-path.sh
source "$(dirname "$0")/fleet.sh"
long=00000000000000b1 short=00000000000000b2
tasks=24

# runs_of JOB [WORKER]: number of starts that were carried out
runs_of() { count "\"event\":\"start\".*\"status\":200,\"task\":\"$1.*\"worker\":\"${2:-}"; }
has_runs() { [ "$(runs_of "$1")" -ge "$2" ]; }

start_deployment 3 1
for n in 1 2 3; do start_worker "$n" "i-$n"; done
for n in 1 2 3; do wait_for 20 is_held "$n" || cannot_run "worker $n is not polled"; done
# Two workers do not hold all tasks.
submit 1 "$long" "$(job 2500 $tasks 3000)"
submit 1 "$short" "$(job 700 $tasks 3000)"
for job in "$long" "$short"; do
    wait_for 5 has_runs "$job" $tasks || cannot_run "not every task of $job was started"
done
[ $(($(runs_of "$long" i-1) + $(runs_of "$short" i-1))) -gt 0 ] || cannot_run "worker 1 got no task"

# Open connections break and new ones are refused, as if the worker's program had ended.
signal proxy1 KILL
forget proxy1
sleep 4
start_proxy 1
for job in "$long" "$short"; do
    wait_for 30 has_state "$job" completed || fail "job $job is not completed"
done
"$tool" twice --record "$record" || fail "tasks ran twice"
echo "no task ran twice"
