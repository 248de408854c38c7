#!/usr/bin/env bash
# Injects faults into real processes on loopback addresses. Each scenario checks what the stand-ins
# recorded, not what the processes report about themselves.
set -euo pipefail
cd "$(dirname "$0")/../.."
source Build/cluster.sh
scenario="$1"
trap 'code=$?; [ $code -eq 0 ] || tail -n 3 "$work"/*.log >&2; [ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"; end_all; rm -rf "$work"; exit $code' EXIT

records="$work/record1,$work/record2,$work/record3,$work/record4"
entries=127.0.0.1:7080,127.0.0.2:7080,127.0.0.3:7080

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

start_cluster() {
    for n in 1 2 3; do start_control "$n"; done
    wait_for 20 curl -sf --noproxy '*' http://127.0.0.1:7100/health
    "$bin/guavashift" --admin 127.0.0.1:7100 bootstrap > /dev/null
    for n in 1 2 3 4; do start_worker "$n"; done
    wait_for 30 has_voters 3
    "$bin/guavashift" config patch examples/demo.json --operator test > /dev/null
    for n in 1 2 3; do wait_for 20 is_ready "127.0.0.$n:7100"; done
    wait_for 30 has_running 8
    for n in 1 2 3; do wait_for 20 serves "$n"; done
}

# load NAME ARGUMENTS...: sends requests in the background
load() {
    "$bin/guavashift-load" --entry "$entries" --rate 150 --threads 16 --quiet --records "$records" \
        --path '/quote?work_us=500&bytes=500' --order-path '/order?work_us=500' --order-percent 25 \
        --resend-percent 20 --report "$work/load-report" "$@" > "$work/load.txt" &
    load_pid=$!
}

finish_load() {
    local code=0
    wait "$load_pid" || code=$?
    cat "$work/load.txt"; grep -h "event=drain-incomplete\|heartbeat-failed" "$work"/*.log | tail -5 || true
    [ "$code" -eq 0 ] || fail "the load tool found lost, doubled or wrong answers"
}

audit() {
    "$bin/guavashift-load" --entry 127.0.0.1:7080 --requests 1 --quiet --records "$records" \
        --path '/quote' > "$work/audit.txt" || { cat "$work/audit.txt"; fail "the records show a doubled run"; }
}

submit_jobs() {
    for job in $(seq 1 "$1"); do
        "$bin/guavashift" job submit --team makers --id "job$job" --tasks 2 --milli-cores 1000 \
            --memory-mb 100 --runtime-ms "$2" > /dev/null
    done
}

completed() { "$bin/guavashift" job list --team makers --output json | grep -c '"status": "completed"'; }
all_completed() { [ "$(completed)" -eq "$1" ]; }
config_version() { "$bin/guavashift" config show --output json | grep -o '"version": [0-9]*' | grep -o '[0-9]*'; }
worker_is() { "$bin/guavashift" workers | grep -c "^$1  *$2"; }
# is_repaired N VERSION: the replica on disk N is one of exactly three members, all voters
is_repaired() {
    local id members
    id="cv$1/$(grep -o '"incarnation":"[0-9a-f]*"' "$work/data$1/identity" | grep -o '[0-9a-f]\{16\}')"
    members=$("$bin/guavashift" members list | grep -c ' true$')
    [ "$members" -eq 3 ] && [ "$("$bin/guavashift" members list | wc -l)" -eq 4 ] \
        && "$bin/guavashift" members list | grep -c "$id.*true" && replica_has_version "$1" "$2"
}
replica_has_version() {
    "$bin/guavashift" --admin "127.0.0.$1:7100" replica --output json | grep -c "\"configVersion\": $2,"
}
new_leader() { local now; now=$(leader_number) && [ -n "$now" ] && [ "$now" != "$1" ]; }

case "$scenario" in
kill-agent)
    start_cluster
    load --seconds 8
    sleep 2
    end_process agent1 KILL
    sleep 1
    start_agent 1
    finish_load
    ;;
freeze-agent)
    # The agent is frozen for longer than every lease while tasks run: they must resume elsewhere and
    # never run twice at once.
    start_cluster
    submit_jobs 8 6000
    wait_for 20 has_running 20
    kill -STOP "${pids[agent1]}"
    wait_for 20 worker_is w1 lost
    kill -CONT "${pids[agent1]}"
    wait_for 60 all_completed 8
    audit
    ;;
freeze-leader)
    start_cluster
    load --seconds 10
    sleep 1
    leader=$(leader_number)
    kill -STOP "${pids[control$leader]}"
    wait_for 10 new_leader "$leader"
    sleep 5
    kill -CONT "${pids[control$leader]}"
    finish_load
    ;;
planned-stops)
    # Stops each role in turn under steady load; no request may be refused or interrupted.
    start_cluster
    load --seconds 16 --strict
    sleep 1
    leader=$(leader_number)
    kill -TERM "${pids[control$leader]}"
    wait "${pids[control$leader]}" || fail "the control VM did not exit with 0"
    start_control "$leader"
    wait_for 10 is_ready "127.0.0.$leader:7100"
    kill -TERM "${pids[agent2]}"
    wait "${pids[agent2]}" || fail "the agent did not exit with 0"
    start_agent 2
    wait_for 10 is_ready 127.0.1.2:7100
    other=$((leader % 3 + 1))
    kill -TERM "${pids[control$other]}"
    wait "${pids[control$other]}" || fail "the second control VM did not exit with 0"
    start_control "$other"
    wait_for 10 is_ready "127.0.0.$other:7100"
    finish_load
    ;;
lost-disk)
    # Snapshots every few log entries, so that each new replica is restored from one.
    SNAPSHOT_ENTRIES=20
    start_cluster
    for i in $(seq 1 30); do
        echo "{\"limits\": {\"queueLength\": $i}}" | "$bin/guavashift" config patch - > /dev/null
    done
    for n in 1 2 3; do
        end_process "control$n" KILL
        rm -rf "$work/data$n"
        start_control "$n"
        # The new incarnation must replace the old one as a voter and hold everything committed.
        wait_for 40 is_repaired "$n" 31
    done
    [ "$(config_version)" -eq 31 ] || fail "a change was lost"
    grep -c 'event=snapshot-installed' "$work/control2.log" > /dev/null || fail "no snapshot was sent"
    ;;
torn-log)
    start_cluster
    end_process control3 KILL
    size=$(stat -c %s "$work/data3/log")
    truncate -s $((size - 7)) "$work/data3/log"
    start_control 3
    wait_for 20 replica_has_version 3 1
    # Damage in the middle of the log must keep the replica from starting.
    end_process control3 KILL
    printf 'X' | dd of="$work/data3/log" bs=1 seek=40 conv=notrunc status=none
    start_control 3
    wait_for 10 grep -q 'event=start-failed.*damaged' "$work/control3.log"
    ;;
restart-all)
    start_cluster
    submit_jobs 5 3000
    version=$(config_version)
    for n in 1 2 3; do end_process "control$n" KILL; done
    for n in 1 2 3; do start_control "$n"; done
    wait_for 30 has_voters 3
    [ "$(config_version)" -eq "$version" ] || fail "the configuration version changed"
    wait_for 60 all_completed 5
    audit
    ;;
operators)
    start_cluster
    # Two operators patch the same version; the second must be refused.
    echo '{"limits": {"queueLength": 11}}' > "$work/a.json"
    "$bin/guavashift" config patch "$work/a.json" --base 1 --patch-id a > /dev/null
    code=0
    "$bin/guavashift" config patch "$work/a.json" --base 1 --patch-id b 2> /dev/null || code=$?
    [ "$code" -eq 3 ] || fail "a patch against an old version was not refused"
    "$bin/guavashift" config patch "$work/a.json" --base 1 --patch-id a | grep -c 'version: 2' \
        || fail "a patch that was sent again did not get its first answer"
    echo '{"limits": {"queueLength": -1}, "extra": 1}' > "$work/b.json"
    code=0
    "$bin/guavashift" config patch "$work/b.json" 2> "$work/findings" || code=$?
    [ "$code" -eq 3 ] || fail "a wrong patch was not refused"
    grep -c '/limits/queueLength' "$work/findings" && grep -q '/extra' "$work/findings" || fail "findings are missing"
    head -c 10000000 /dev/zero | tr '\0' ' ' > "$work/c.json"
    status=$(curl -s -o /dev/null -w '%{http_code}' --noproxy '*' --data-binary "@$work/c.json" http://127.0.0.1:7100/admin/v1/config/patch)
    [ "$status" = 413 ] || fail "a patch of 10 MB got status $status"
    status=$(curl -s -o /dev/null -w '%{http_code}' --noproxy '*' -X DELETE http://127.0.0.1:7100/admin/v1/config)
    [ "$status" = 405 ] || fail "a wrong method got status $status"
    status=$(curl -s -o /dev/null -w '%{http_code}' --noproxy '*' http://127.0.0.1:7080/nowhere)
    [ "$status" = 404 ] || fail "an unknown route got status $status"
    [ "$(config_version)" -eq 2 ] || fail "the version moved"
    code=0
    "$bin/guavashiftd" --role cook 2> "$work/findings" || code=$?
    [ "$code" -eq 2 ] || fail "wrong settings did not exit with 2"
    ;;
*)
    fail "there is no scenario '$scenario'"
    ;;
esac
echo "scenario $scenario passed"
