#!/usr/bin/env bash
# An entry is frozen while a client hands in a job, for the client's whole deadline; then the client cancels.
here="$(cd "$(dirname "$0")" && pwd)"
source "$here/../common.sh"
sides=8 job=00000000000000f1

start_deployment $sides 2
for n in $(seq 1 $sides); do start_worker "$n" "i-$n"; done
sleep 2
body='{"task_spec":"work_ms=0","steps":[{"count":2,"cpu":1000,"mem_mb":500,"estimate_ms":1000,"long_running":true}]}'
[ "$trouble" = 0 ] || signal edge-1 STOP
# The client waits for its whole deadline. It does not want the job any more then, so it cancels
# it; the platform sends that call to the other entry.
answer=$(ask 1 POST "$job" "$body" 3000)
echo "handing in: $answer"
cancel=$(ask 2 DELETE "$job")
echo "cancel: $cancel"
[[ "$cancel" == 200* || "$cancel" == 410* ]] || cannot_run "the cancel was not acknowledged"
note "the cancel is acknowledged"
if [ "$trouble" = 1 ]; then
    sleep 0.1
    signal edge-1 CONT
fi
# cancel_ms is 3 s and stop_grace_ms 0.4 s, and the last disruption ends 3 s of contact_ms earlier.
sleep 12
running=$(($(count '"event":"start".*"status":200') - $(count '"event":"end"')))
state=$(state_of "$job")
echo "12 s later the job is shown as '$state' and $running of its tasks run"
[ "$running" -gt 0 ] && exit 1
exit 0
