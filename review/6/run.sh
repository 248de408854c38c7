#!/usr/bin/env bash
# One of five core machines is removed for good, and an empty one is added at another address, whose seeds
# are three of the others. Half a minute later two core machines lose their disks, which this deployment
# bears, and are back at once. What was acknowledged must still be there.
here="$(cd "$(dirname "$0")" && pwd)"
source "$here/../lib-2.sh"
id=00000000000000a6
path=/jobs/$id
tolerated=2

# leader: the core machine that leads, by its log
leader() {
    grep -H 'event=leading ' "$work"/core-*.log | sed 's/.*core-\([0-9]\).log:time=\([0-9]*\).*/\2 \1/' \
        | sort -n | tail -n 1 | cut -d' ' -f2
}

start_deployment 1 5
start_worker 1 i-1
wait_for 15 all_report 1 || cannot_run "the worker is not acknowledged"
wait_for 10 submit $path \
    '{"task_spec":"work_ms=500 cpu=2000","steps":[{"count":1,"cpu":2000,"mem_mb":500,"estimate_ms":500}]}' \
    || cannot_run "the job is not accepted"
sleep 10
leads=$(leader)
others=()
for n in 1 2 3 4 5; do [ "$n" = "$leads" ] || others+=("$n"); done
note "core-$leads leads"
if [ "$trouble" != 0 ]; then
    signal "core-${others[3]}" KILL
    forget "core-${others[3]}"
    list=()
    for n in "${others[@]:0:3}"; do list+=("\"$net.1.$n:$control_port\""); done
    seeds="$(IFS=,; echo "${list[*]}")"
    sleep 1
    bootstrap=false
    start_core 6
fi
sleep 30
[ "$(leader)" = "$leads" ] || cannot_run "another machine leads now"
for n in "${others[@]:0:2}"; do
    signal "core-$n" KILL
    forget "core-$n"
done
bootstrap=false
for n in "${others[@]:0:2}"; do
    note "core-$n is back with an empty disk"
    rm -rf "$work/core-$n-data"
    start_core "$n"
done
# recovery_s, then finish_s
sleep 15
known() { [ "$(state $path)" = completed ]; }
read_back() {
    local n
    for n in 1 2 3 4 5 6; do
        [[ "$("$standin" call GET "$net.1.$n:$control_port" /guavashift/config --timeout-ms 1000 --record "$record")" == 200* ]] && return 0
    done
    return 1
}
job=lost configuration=lost
wait_for 14 known && job=known
wait_for 14 read_back && configuration=known
echo "15 s after the machines were back, and for 14 s more: the job is $job, the configuration is $configuration"
[ "$job $configuration" = "known known" ] || exit 1
