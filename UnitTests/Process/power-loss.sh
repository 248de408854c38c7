#!/usr/bin/env bash
# Guards against runs that wait for their lease, or run twice, after a loss of all power: every process and every worker
# ends at once, and the workers come back under other ids. The next leader knows from the replicated state where the
# lifetimes before had answered. KINDS=same: the workers come back under their ids, so that only their lists tell.
source "$(dirname "$0")/fleet.sh"

readonly sides=3 job=00000000000000b1
# Runs that are bound go on for so long.
readonly work_ms=9000 tasks=12

running() { [ "$(count '"event":"start".*"status":200')" -ge "$1" ]; }
settled_from_state() { cat "$work"/core-*.log | grep -c 'event=lifetime-settled.*known_from=state' || true; }
# started_after MS: ms from then to the last start
started_after() {
    events '"event":"start".*"status":200' | sed 's/.*"at":\([0-9]*\).*/\1/' | awk -v from="$1" '$1 > from { print $1 - from }' | sort -n | tail -1
}

start_deployment $sides 1
for n in $(seq 1 $sides); do start_worker "$n" "i-$n"; done
for n in $(seq 1 $sides); do wait_for 20 is_held "$n" || cannot_run "worker $n is not polled"; done
# Until it is known that starts reach no other lifetime.
sleep 3
submit 1 $job "{\"task_spec\":\"work_ms=$work_ms\",\"steps\":[{\"count\":$tasks,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":$work_ms}]}"
wait_for 10 running $tasks || cannot_run "not every task was started"

note "power is lost"
for name in "${!pids[@]}"; do
    case $name in proxy*) continue ;; esac
    signal "$name" KILL
    forget "$name"
done
for n in $(seq 1 $sides); do echo "{\"at\":$(now_ms),\"event\":\"gone\",\"worker\":\"i-$n\"}" >> "$record"; done
sleep 0.5
for n in 1 2 3; do launch "core-$n" control; done
launch edge-1 entry
for n in $(seq 1 $sides); do launch "side-$n" agent; done
back=$(now_ms)
for n in $(seq 1 $sides); do start_worker "$n" "$([ "${KINDS:-}" = same ] && echo "i-$n" || echo "i-$((n + 20))")"; done
wait_for 20 running $((2 * tasks)) || fail "not every task was started again"
echo "started again $(started_after "$back") ms after the machines were back; settled from the state: $(settled_from_state)"
wait_for 30 has_state $job completed || fail "the job is not completed"
"$tool" twice --record "$record" || fail "tasks ran twice"
[ "${KINDS:-}" = same ] || [ "$(settled_from_state)" -gt 0 ] || fail "no lifetime was settled from the state"
echo "no task ran twice"
