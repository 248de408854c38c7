#!/usr/bin/env bash
# An agent is killed while more than 500 tasks of its worker end, and starts again.
here="$(cd "$(dirname "$0")" && pwd)"
source "$here/../common.sh"
jobs=20 tasks=40 work_ms=5000

start_deployment 7 1
start_worker 1 i-big --label big
for n in 2 3 4 5 6 7; do start_worker "$n" "i-$n"; done
step="{\"count\":$tasks,\"cpu\":75,\"mem_mb\":100,\"estimate_ms\":$work_ms,\"requires\":\"big\"}"
for j in $(seq 1 $jobs); do
    submit 1 "$(printf '%016x' "$j")" "{\"task_spec\":\"work_ms=$work_ms\",\"steps\":[$step]}"
done
total=$((jobs * tasks))
started() { [ "$(count '"event":"start".*"run":1,')" -ge "$total" ]; }
wait_for 15 started || cannot_run "not all tasks started"
ended() { [ "$(count '"event":"end"')" -ge "$1" ]; }
# The agent is killed just before the first task ends, and is back once all have ended.
if [ "$trouble" = 1 ]; then
    first=$(events '"event":"start"' | head -1 | sed 's/.*"at":\([0-9]*\).*/\1/')
    left=$((first + work_ms - 500 - $(now_ms)))
    [ "$left" -gt 0 ] || cannot_run "the tasks started too slowly"
    sleep "$((left / 1000)).$(printf '%03d' $((left % 1000)))"
    signal side-1 KILL
    forget side-1
    wait_for 5 ended "$total" || cannot_run "the tasks did not end"
    launch side-1 agent
fi
all_completed() {
    local j
    for j in $(seq 1 $jobs); do has_state "$(printf '%016x' "$j")" completed || return 1; done
}
wait_for 30 all_completed || note "not all jobs are completed"
sleep 1
judge_twice
