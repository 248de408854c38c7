#!/usr/bin/env bash
# Guards against tasks that run twice because a report ends the lifetime of a worker that works on.
#   [LOGS=folder] GUAVASHIFT_BIN=folder foreign-report.sh CASE
#   another     one report of another worker arrives at the agent of worker 1
#   later       one report of worker 1 with a later time of birth
#   second      a second worker process on machine 1 reports for some seconds
#   next-agent  the agent of worker 1 is frozen; the worker, born last, reports to the other agents
source "$(dirname "$0")/fleet.sh"
case_name=${1:?the case}
long=00000000000000c1 short=00000000000000c2
tasks=24

runs_of() { count "\"event\":\"start\".*\"status\":200,\"task\":\"$1.*\"worker\":\"${2:-}"; }
has_runs() { [ "$(runs_of "$1")" -ge "$2" ]; }
born_of() { events '"event":"born"' | grep "\"worker\":\"i-$1\"" | tail -n 1 | sed 's/.*"born":\([0-9]*\).*/\1/'; }

# report AGENT ID ADDRESS BORN [SEQUENCE]: prints the status that the agent of that side answers with
report() {
    curl -s -m 1 -o /dev/null -w '%{http_code}\n' -X PUT -H 'Content-Type: application/json' \
        "http://$net.3.$1:$control_port/guavashift/instances/$2" \
        -d "{\"service\":\"desk\",\"address\":\"$3\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":64000,\"mem_mb\":256000,\"gpu\":0},\"labels\":[\"a\"],\"clock_ms\":100,\"sequence\":${5:-900000},\"born\":$4}" || true
}

start_deployment 3 1
for n in 2 3 1; do
    start_worker "$n" "i-$n"
    sleep 0.1
done
for n in 1 2 3; do wait_for 20 is_held "$n" || cannot_run "worker $n is not polled"; done
# Two workers do not hold all tasks.
submit 1 "$long" "$(job 2500 $tasks 3000)"
submit 1 "$short" "$(job 700 $tasks 3000)"
for each in "$long" "$short"; do
    wait_for 5 has_runs "$each" $tasks || cannot_run "not every task of $each was started"
done
[ $(($(runs_of "$long" i-1) + $(runs_of "$short" i-1))) -gt 0 ] || cannot_run "worker 1 got no task"

statuses=()
case $case_name in
another) statuses+=("$(report 1 i-9 "$net.3.9:$app_port" "$(now_ms)")") ;;
later) statuses+=("$(report 1 i-1 "$net.3.1:$app_port" "$(now_ms)")") ;;
second)
    "$tool" worker --listen "$net.3.1:$((proxy_port + 2))" --agent "$net.3.1:$control_port" --id i-9 \
        --record "$work/second.txt" > /dev/null 2>&1 &
    pids[second]=$!
    sleep 3
    ;;
next-agent)
    signal side-1 STOP
    for sequence in 500 501 502 503 504 505; do
        for n in 2 3; do statuses+=("$(report $n i-1 "$net.3.1:$app_port" "$(born_of 1)" $sequence)"); done
        sleep 0.5
    done
    signal side-1 CONT
    ;;
*) cannot_run "$case_name is no case" ;;
esac
for each in "$long" "$short"; do
    wait_for 30 has_state "$each" completed || fail "job $each is not completed"
done
"$tool" twice --record "$record" || fail "tasks ran twice"
# The sender goes on to its own agent, which alone may acknowledge that it drains.
for status in "${statuses[@]}"; do
    [ "$status" = 421 ] || fail "a report of another lifetime was answered with $status"
done
echo "no task ran twice"
