# Functions to run a small cluster on this machine's loopback addresses. Sourced by other scripts.
bin="${GUAVASHIFT_BIN:-build/bin}"
work="$(mktemp -d)"
declare -A pids
key=demo-key

control_addresses=127.0.0.1:7001,127.0.0.2:7001,127.0.0.3:7001
export GUAVASHIFT_ADMIN=127.0.0.1:7100,127.0.0.2:7100,127.0.0.3:7100

# start NAME COMMAND...: starts a process with its log in $work/NAME.log
start() {
    local name=$1
    shift
    "$@" >> "$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# end_process NAME SIGNAL: sends the signal and waits until the process has ended
end_process() {
    kill "-$2" "${pids[$1]}" 2> /dev/null || true
    wait "${pids[$1]}" 2> /dev/null || true
    unset "pids[$1]"
}

end_all() {
    local name
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2> /dev/null || true; done
    for name in "${!pids[@]}"; do
        wait "${pids[$name]}" 2> /dev/null || true
    done
    pids=()
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; returns 1 after SECONDS
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

start_control() {
    local n=$1
    start "control$n" "$bin/guavashiftd" --role control --role entry --vm "cv$n" \
        --failure-domain "domain$n" --cluster-key "$key" --control-address "$control_addresses" \
        --admin-listen "127.0.0.$n:7100" --control-listen "127.0.0.$n:7001" \
        --data-folder "$work/data$n" --entry-listen "127.0.0.$n:7080" \
        --snapshot-entries "${SNAPSHOT_ENTRIES:-20000}"
}

start_worker() {
    local n=$1 ip="127.0.1.$1" domain=$((($1 - 1) % 3 + 1))
    start "standin$n" "$bin/guavashift-standin" --listen "$ip:7300" --agent-admin "$ip:7100" \
        --record "$work/record$n" "${@:2}"
    start_agent "$n"
}

start_agent() {
    local n=$1 ip="127.0.1.$1" domain=$((($1 - 1) % 3 + 1))
    start "agent$n" "$bin/guavashiftd" --role agent --vm "w$n" --failure-domain "domain$domain" \
        --rack "rack$n" --cluster-key "$key" --control-address "$control_addresses" \
        --admin-listen "$ip:7100" --agent-listen "$ip:7200" --agent-rpc-listen "$ip:7201" \
        --platform-address "$ip:7300" --capacity-milli-cores 32000 --capacity-memory-mb 125000
}

# serves N: whether entry N answers requests of both demo services
serves() {
    curl -sf --noproxy '*' "http://127.0.0.$1:7080/quote" > /dev/null \
        && curl -sf --noproxy '*' "http://127.0.0.$1:7080/order" > /dev/null
}
is_ready() { curl -sf --noproxy '*' "http://$1/ready"; }
voters() { "$bin/guavashift" members list --output json | grep -c '"voter": true'; }
has_voters() { [ "$(voters)" -eq "$1" ]; }
running_tasks() { "$bin/guavashift" status --output json | grep -A4 '"tasks"' | grep -o '"running": [0-9]*' | grep -o '[0-9]*'; }
has_running() { [ "$(running_tasks)" -ge "$1" ]; }
leader_number() { "$bin/guavashift" status --output json | grep -o '"leader": "cv[0-9]' | grep -o '[0-9]$'; }
