#!/usr/bin/env bash
# Guards against tasks that run twice because a worker's next lifetime carries out a poll that acknowledges ends of the last one.
#   [CLOSES=1] [LOGS=folder] GUAVASHIFT_BIN=folder next-lifetime.sh
# CLOSES=1: the workers close each connection after their answer.
source "$(dirname "$0")/fleet.sh"
first=00000000000000a1 second=00000000000000a2
tasks=40

# of EVENT [PATTERN...]: the record's lines of an event that hold all the patterns
of() {
    local lines pattern
    lines=$(grep "\"event\":\"$1\"" "$record" || true)
    shift
    for pattern; do lines=$(grep -- "$pattern" <<< "$lines" || true); done
    [ -z "$lines" ] || echo "$lines"
}
number_of() { of "$@" | wc -l; }
# all_seen N: whether all ends of the present lifetime of worker N were acknowledged, and there are some
all_seen() {
    local born ends
    born=$(born_of "$1")
    ends=$(number_of end "$born")
    [ "$ends" -gt 0 ] && [ "$(number_of seen "$born" "\"upto\":$ends,")" -gt 0 ]
}
# born_of N: a pattern for the lines of worker N's present lifetime
born_of() { of born "\"worker\":\"i-$1\"" | tail -n 1 | sed "s/.*\(\"born\":[0-9]*,\).*/\1.*\"worker\":\"i-$1\"/"; }
has_number() { [ "$(number_of "${@:2}")" -ge "$1" ]; }
is_registered() { grep "event=inventory-sent worker=i-1 " "$work/side-1.log" | grep "born=$1 "; }

# started_again: prints starts of a task of the second job after a run that ended done; fails if there are some
started_again() {
    of '\(start\|end\)' "\"task\":\"$second" | awk -F '[,:{}]' '
        { delete field; for (i = 2; i < NF; i++) field[$i] = $(i + 1) }
        { task = field["\"task\""]; run = field["\"run\""] }
        field["\"event\""] == "\"start\"" && field["\"status\""] == 200 {
            if (!(task in began)) began[task] = run
            else if (run != began[task]) again[task] = $0
        }
        field["\"event\""] == "\"end\"" && field["\"how\""] == "\"done\"" && run == began[task] { done[task] = 1 }
        END { for (task in again) if (task in done) { print again[task]; found = 1 }; exit found }'
}

# closes N: whether the agent has noticed that worker N closes its connections
closes() { grep "event=connections-closed worker=i-$1 " "$work/side-$1.log"; }

start_deployment 2 1
if [ -n "${CLOSES:-}" ]; then for n in 1 2; do close_connections "$n"; done; fi
for n in 1 2; do start_worker "$n" "i-$n"; done
for n in 1 2; do wait_for 20 is_held "$n" || cannot_run "worker $n is not polled"; done
if [ -n "${CLOSES:-}" ]; then
    for n in 1 2; do wait_for 5 closes "$n" || cannot_run "worker $n is not known to close its connections"; done
fi
# One worker does not hold all tasks.
submit 1 "$first" "$(job 300 60 2000)"
wait_for 10 has_state "$first" completed || fail "the first job is not completed"
wait_for 5 all_seen 1 || fail "not every end of worker 1 was acknowledged"

# The poll that acknowledges the last ends waits in the proxy until the next lifetime is there, before that one reports.
signal proxy1 USR1
gone 1
start_worker 1 i-1 --first-report-ms 1500
wait_for 5 has_number 2 born '"worker":"i-1"' || cannot_run "worker 1 did not start again"
signal proxy1 USR2
born=$(born_of 1 | sed 's/"born":\([0-9]*\).*/\1/')
wait_for 10 is_registered "$born" || fail "the next lifetime is not taken in"

# No process leads while the runs of the second job end.
submit 1 "$second" "$(job 1500 $tasks 2000)"
wait_for 5 has_number $tasks start "\"task\":\"$second" '"status":200' || cannot_run "not every task was started"
[ "$(number_of start "\"task\":\"$second" "$(born_of 1)")" -gt 0 ] || cannot_run "the next lifetime got no task"
leader=$(newest_leader)
signal "core-$leader" KILL
forget "core-$leader"
for n in 1 2 3; do [ "$n" = "$leader" ] || signal "core-$n" STOP; done
wait_for 5 has_number $tasks end "\"task\":\"$second" || cannot_run "not every run ended"
launch "core-$leader" control
for n in 1 2 3; do [ "$n" = "$leader" ] || signal "core-$n" CONT; done
wait_for 20 has_state "$second" completed || fail "the second job is not completed"
for n in 1 2; do wait_for 5 all_seen "$n" || note "not every end of worker $n was acknowledged"; done

failures=()
"$tool" twice --record "$record" || failures+=("tasks ran twice")
early_seen || failures+=("ends were acknowledged that a lifetime had not had")
started_again || failures+=("tasks were started again though their run ended done")
[ ${#failures[@]} -eq 0 ] || fail "$(IFS=";"; echo "${failures[*]}")"
echo "no task ran twice"
