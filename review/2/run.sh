#!/usr/bin/env bash
# A client hands in a job that repeats every minute, for ten years.
here="$(cd "$(dirname "$0")" && pwd)"
source "$here/../common.sh"
sides=4 plain=00000000000000e1 repeating=00000000000000e2
times=8
[ "$trouble" = 0 ] || times=5256000

start_deployment $sides 1
for n in $(seq 1 $sides); do start_worker "$n" "i-$n"; done
sleep 2
# An ordinary job of another client, accepted and at work.
submit 1 "$plain" '{"task_spec":"work_ms=8000","steps":[{"count":4,"cpu":1000,"mem_mb":500,"estimate_ms":8000}]}'
wait_for 5 has_state "$plain" running || cannot_run "the ordinary job does not run"
body="{\"task_spec\":\"work_ms=500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":500}],\"repeat_count\":$times,\"first_run_ms\":$(($(now_ms) + 60000)),\"interval_ms\":60000}"
answer=$(ask 1 POST "$repeating" "$body")
echo "the repeating job was answered with $answer"
# The ordinary job needs 8 s; the system has 60.
begun=$SECONDS
answered=0 unanswered=0
while [ $((SECONDS - begun)) -lt 60 ]; do
    case "$(ask 1 GET "$plain")" in
    200*completed*) echo "the ordinary job is shown as completed"; exit 0 ;;
    200*) answered=$((answered + 1)) ;;
    *) unanswered=$((unanswered + 1)) ;;
    esac
    sleep 0.5
done
for name in core-1 core-2 core-3; do
    echo "$name: $(ps -o rss= -p "${pids[$name]}") KB, $(grep -c 'event=leading ' "$work/$name.log") times leader"
done
echo "in 60 s $answered reads of the ordinary job were answered and $unanswered were not"
exit 1
