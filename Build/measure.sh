#!/usr/bin/env bash
# Measures a running system on this machine. Prints the results without judging them.
#   overhead   added latency and throughput against calling the stand-in directly
#   overload   latency and goodput at several times the capacity
#   slow       one slow backend server of four
#   failover   time without a leader over kills of the leader
#   inforce    time from accepted patch to in force on every VM
#   costs      processor time, memory and bytes of agents and control
set -euo pipefail
cd "$(dirname "$0")/.."
source Build/cluster.sh
what="$1"
trap 'end_all; rm -rf "$work"' EXIT

entries=127.0.0.1:7080,127.0.0.2:7080,127.0.0.3:7080

start_cluster() {
    for n in 1 2 3; do start_control "$n"; done
    wait_for 20 curl -sf --noproxy '*' http://127.0.0.1:7100/health
    "$bin/guavashift" --admin 127.0.0.1:7100 bootstrap > /dev/null
    for n in 1 2 3 4; do
        if [ "$n" = "${slow_worker:-}" ]; then start_worker "$n" --delay-ms 40; else start_worker "$n"; fi
    done
    wait_for 30 has_voters 3
    "$bin/guavashift" config patch examples/demo.json --operator measure > /dev/null
    for n in 1 2 3; do wait_for 20 is_ready "127.0.0.$n:7100"; done
    wait_for 30 has_running 8
    for n in 1 2 3; do wait_for 20 serves "$n"; done
}

load() { "$bin/guavashift-load" --quiet "$@" | grep -E 'answered|refusal|not run|unknown|per second|p50|p99'; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
cpu_percent() { # PID SECONDS
    local before after
    before=$(cpu_ticks "$1"); sleep "$2"; after=$(cpu_ticks "$1")
    awk -v t=$((after - before)) -v s="$2" -v hz="$(getconf CLK_TCK)" 'BEGIN {printf "%.2f", 100 * t / hz / s}'
}

case "$what" in
overhead)
    start_cluster
    for rate in 200 1000; do
        echo "-- direct, $rate/s"; load --entry 127.0.1.1:7300 --rate "$rate" --threads 32 --seconds 6
        echo "-- through one entry and agents, $rate/s"; load --entry 127.0.0.1:7080 --rate "$rate" --threads 32 --seconds 6
    done
    echo "-- direct, as fast as answered"; load --entry 127.0.1.1:7300 --rate 0 --threads 8 --seconds 4
    echo "-- through one entry, as fast as answered"; load --entry 127.0.0.1:7080 --rate 0 --threads 8 --seconds 4
    echo "-- orders with keys through three entries, 200/s"
    load --entry "$entries" --rate 200 --threads 32 --seconds 5 --order-percent 100
    ;;
overload)
    start_cluster
    # 20 ms of work, 4 backend servers with 8 slots: 1600 requests a second at most.
    for rate in 800 1600 2400 4800; do
        echo "-- $rate/s"
        load --entry "$entries" --rate "$rate" --threads 2000 --seconds 6 --path '/quote?work_ms=20'
    done
    ;;
slow)
    slow_worker=2
    start_cluster
    echo "-- one of four answers 40 ms later, 400/s"
    load --entry "$entries" --rate 400 --threads 64 --seconds 8 --path '/quote?work_ms=2'
    curl -s --noproxy '*' http://127.0.0.1:7100/metrics | grep -E '^guavashift_entry_(hedges|retries|requests)_total'
    ;;
failover)
    start_cluster
    for i in $(seq 1 "${2:-20}"); do
        leader=$(leader_number)
        at=$(date +%s%3N)
        end_process "control$leader" KILL
        until new=$("$bin/guavashift" --admin "127.0.0.$((leader % 3 + 1)):7100" status --output json 2> /dev/null | grep -o '"leader": "cv[0-9]' | grep -o '[0-9]$') && [ "$new" != "$leader" ]; do :; done
        echo "$(($(date +%s%3N) - at))"
        start_control "$leader"
        wait_for 20 is_ready "127.0.0.$leader:7100"
        wait_for 20 has_voters 3
    done > "$work/times"
    sort -n "$work/times" | awk '{v[NR] = $1} END {print "kills " NR ", without a leader: median " v[int((NR + 1) / 2)] " ms, worst " v[NR] " ms"}'
    ;;
inforce)
    start_cluster
    in_force() { [ "$("$bin/guavashift" status --output json | grep -o '"versionInForce": [0-9]*' | grep -o '[0-9]*')" -ge "$1" ]; }
    for i in $(seq 1 20); do
        echo "{\"limits\": {\"queueLength\": $i}}" > "$work/patch.json"
        "$bin/guavashift" config patch "$work/patch.json" > /dev/null
        at=$(date +%s%3N)
        until in_force $((i + 1)); do :; done
        echo "$(($(date +%s%3N) - at))"
    done > "$work/times"
    sort -n "$work/times" | awk '{v[NR] = $1} END {print "patches " NR ", in force on 7 VMs: median " v[int((NR + 1) / 2)] " ms, worst " v[NR] " ms"}'
    ;;
costs)
    start_cluster
    agent=${pids[agent1]}
    echo "idle agent: $(cpu_percent "$agent" 10) % of a core, $(rss_kb "$agent") kB"
    leader=$(leader_number)
    echo "idle leader with entry: $(cpu_percent "${pids[control$leader]}" 10) % of a core, $(rss_kb "${pids[control$leader]}") kB"
    load --entry "$entries" --rate 1000 --threads 32 --seconds 12 > "$work/busy" &
    busy=$!
    sleep 1
    echo "agent at 250 requests/s: $(cpu_percent "$agent" 8) % of a core, $(rss_kb "$agent") kB"
    wait "$busy"
    ;;
esac
