#!/usr/bin/env bash
# Runs the whole system on one machine: three control VMs that are also entries, and four workers.
# One control leader is killed half-way. Exits with 0 only if nothing was lost or duplicated.
set -euo pipefail
cd "$(dirname "$0")/.."
source Build/cluster.sh
seconds="${DEMO_SECONDS:-12}"
trap 'end_all; rm -rf "$work"' EXIT

echo "starting three control VMs and four workers"
for n in 1 2 3; do start_control "$n"; done
wait_for 20 curl -sf --noproxy '*' http://127.0.0.1:7100/health
"$bin/guavashift" --admin 127.0.0.1:7100 bootstrap > /dev/null
for n in 1 2 3 4; do start_worker "$n"; done
wait_for 30 has_voters 3

echo "creating two services and a team"
"$bin/guavashift" config patch examples/demo.json --operator demo > /dev/null
for n in 1 2 3; do wait_for 20 is_ready "127.0.0.$n:7100"; done
wait_for 30 has_running 8
for n in 1 2 3; do wait_for 20 serves "$n"; done

echo "submitting batch jobs"
for job in $(seq 1 10); do
    "$bin/guavashift" job submit --team makers --id "plan$job" --family plan --tasks 4 \
        --milli-cores 500 --memory-mb 256 --runtime-ms 1500 > /dev/null
done

echo "sending requests through three entries"
set +e
"$bin/guavashift-load" --entry 127.0.0.1:7080,127.0.0.2:7080,127.0.0.3:7080 --rate 300 --threads 24 \
    --seconds "$seconds" --path '/quote?work_us=500&bytes=2000' --order-path '/order?work_us=500' \
    --order-percent 20 --resend-percent 10 --quiet \
    --records "$work/record1,$work/record2,$work/record3,$work/record4" > "$work/load.txt" &
load=$!
sleep "$((seconds / 2))"
leader=$(leader_number)
echo "killing the control part's leader cv$leader"
killed_at=$(date +%s%3N)
end_process "control$leader" KILL
start_control "$leader"
until new=$(leader_number 2> /dev/null) && [ -n "$new" ]; do :; done
leaderless=$(($(date +%s%3N) - killed_at))
wait "$load"
load_result=$?

trap 'tail -n 5 "$work"/*.log >&2; end_all; rm -rf "$work"' ERR
completed() { "$bin/guavashift" job list --team makers --output json | grep -c '"status": "completed"'; }
all_completed() { [ "$(completed)" -eq 10 ]; }
wait_for 60 all_completed
jobs_result=$?
echo
cat "$work/load.txt"
printf '%-28s%s\n' "jobs completed" "$(completed) of 10"
printf '%-28s%s\n' "time without a leader ms" "at most $leaderless"
end_all
[ "$load_result" -eq 0 ] && [ "$jobs_result" -eq 0 ] && echo "nothing was lost or doubled"
