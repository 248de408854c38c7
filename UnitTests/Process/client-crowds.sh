#!/usr/bin/env bash
# Guards against clients beyond the limits that end a process: it must live, stay within the memory and descriptors of its
# machine, and answer one ordinary request while the clients keep their connections.
#   [LOGS=folder] GUAVASHIFT_BIN=folder client-crowds.sh entry|control|agent [KIND...]
source "$(dirname "$0")/fleet.sh"
role=${1:?the role}
shift
# Limits of the machine, lower than those of a real one so that a small crowd reaches them.
memory_mb=64
max_fds=600
# Of these, 200 are for files outside the data folder, and bytes that have arrived and are not read count as memory (DEPLOY,
# Memory and descriptors).
fds_bound=$((max_fds - 200))
settle_s=120
answer_s=30

# settings NAME CLASS IP LISTENERS: as in review/common.sh, on a small machine
eval "$(declare -f settings | sed '1s/settings/common_settings/')"
settings() {
    common_settings "$@"
    sed -i "s/^memory_mb = .*/memory_mb = $memory_mb/; s/^max_fds = .*/max_fds = $max_fds/" "$work/$1.toml"
}

case $role in
entry) name=edge-1 address="$net.2.1:$caller_port" path=/jobs/00000000000000d1 host=desk.example method=POST ;;
control) name=core-1 address="$net.1.1:$control_port" path=/guavashift/config host=operator.example method=PUT ;;
agent) name=side-1 address="$net.3.1:$control_port" path=/guavashift/instances/i-1 host=worker.example method=PUT ;;
*) cannot_run "$role is no role" ;;
esac

# large_configuration: a configuration of 1,400 routes, whose answers are large too
large_configuration() {
    local n routes=""
    for n in $(seq 1 1400); do
        routes+=",{\"name\":\"r-$n\",\"host\":\"desk$n.example\",\"path_prefix\":\"/jobs/\",\"route_kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"desk\",\"max_attempts\":3,\"stretch\":2.0}"
    done
    echo "${configuration/\],\"services\"/$routes],\"services\"}"
}

# put FILE: hands the configuration in the file in at the control process; prints the status
put() {
    curl -s -m 10 -o /dev/null -w '%{http_code}' -X PUT -H 'Content-Type: application/json' \
        "http://$net.1.1:$control_port/guavashift/config" --data-binary "@$1" || true
}
is_put() { [ "$(put "$1")" = 200 ]; }

# ordinary: one request as an ordinary client sends it, once; prints its status
ordinary() {
    case $role in
    entry)
        curl -s -m $answer_s -o /dev/null -w '%{http_code}' -X POST -H 'Host: desk.example' \
            -H 'Content-Type: application/json' "http://$address/jobs/$(printf '%016x' $((RANDOM * 32768 + RANDOM)))" \
            -d "$(job 100 1 100)" || true
        ;;
    control) curl -s -m $answer_s -o /dev/null -w '%{http_code}' "http://$address/guavashift/config" || true ;;
    # Another worker's report is answered as misdirected.
    agent)
        curl -s -m $answer_s -o /dev/null -w '%{http_code}' -X PUT -H 'Content-Type: application/json' \
            "http://$address/guavashift/instances/i-9" \
            -d "{\"service\":\"desk\",\"address\":\"$net.3.9:$app_port\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":64000,\"mem_mb\":256000,\"gpu\":0},\"labels\":[],\"clock_ms\":100,\"sequence\":1,\"born\":1}" || true
        ;;
    esac
}
ordinary_status() { [ "$role" = agent ] && echo 421 || echo 200; }

# unread_kb: bytes that have arrived at the process's address and are not read
unread_kb() {
    local queue sum=0
    for queue in $(awk -v at="$(proc_address)" '$2 == at { split($5, queues, ":"); print queues[2] }' /proc/net/tcp); do
        sum=$((sum + 16#$queue))
    done
    echo $((sum / 1024))
}
# proc_address: the process's address as /proc/net/tcp writes it
proc_address() {
    local a b c d port
    IFS=.: read -r a b c d port <<< "$address"
    printf '%02X%02X%02X%02X:%04X' "$d" "$c" "$b" "$a" "$port"
}
resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/${pids[$name]}/status" 2> /dev/null || true; }
# largest: one request with a body of the largest size inside the limits, which is no JSON; prints its status
largest() {
    local bytes=$((4 * 1024 * 1024))
    [ "$role" != entry ] || bytes=262144
    head -c "$bytes" /dev/zero | tr '\0' x > "$work/largest"
    curl -s -m $answer_s -o /dev/null -w '%{http_code}' -X $method -H "Host: $host" -H 'Expect:' \
        -H 'Content-Type: application/json' "http://$address$path" --data-binary "@$work/largest" || true
}
peak_kb() { awk '/^VmHWM/ { print $2 }' "/proc/${pids[$name]}/status" 2> /dev/null || true; }
descriptors() { ls "/proc/${pids[$name]}/fd" 2> /dev/null | wc -l; }
# is_settled: whether the crowd has sent all and the process has read no more of it for a while; notes the memory in use
is_settled() {
    local unread now
    unread=$(unread_kb)
    now=$(($(resident_kb) + unread))
    [ "$now" -le "$used" ] || used=$now
    sleep 0.2
    if [ "$unread" != "$unread_before" ] || ! has_sent; then
        unread_before=$unread
        still=0
        return 1
    fi
    still=$((still + 1))
    [ "$unread" = 0 ] || [ $still -ge 5 ]
}
has_sent() { grep -q '^sent ' "$work/crowd.txt"; }
answers_again() { [ "$(ordinary)" = "$(ordinary_status)" ]; }

# restart: starts the process anew, so that the next crowd is judged alone
restart() {
    signal $name KILL 2> /dev/null || true
    forget $name
    launch $name "$role"
    wait_for 30 answers_again || cannot_run "$name does not answer after its start"
}

failures=()
# crowd KIND[-overrun] CLIENTS BYTES [METHOD]: lets the crowd come and judges the process while its connections are open
crowd() {
    local kind=$1 peak fds status
    [ ${#kinds[@]} -eq 0 ] || [[ " ${kinds[*]} " == *" $kind "* ]] || return 0
    : > "$work/crowd.txt"
    "$bin/guavashift-client-crowd" --to "$address" --kind "${kind%-overrun}" --clients "$2" --bytes "$3" \
        --method "${4:-$method}" --path "$path" --host "$host" > "$work/crowd.txt" 2>> "$work/crowd.log" &
    pids[crowd]=$!
    used=0
    unread_before=-1
    still=0
    # How long a crowd takes depends on the machine: one that is still at work is judged at work.
    wait_for $settle_s is_settled || echo "$role, '$kind': the crowd is still at work after $settle_s s"
    fds=$(descriptors)
    status=$(ordinary)
    peak=$(peak_kb)
    # Both the peak of the process alone and what it held together with its unread bytes.
    [ -z "$peak" ] || [ "$peak" -ge "$used" ] || peak=$used
    echo "$role, $2 clients '$kind' of $3 bytes: $(cat "$work/crowd.txt"), peak $peak kB, descriptors $fds, status $status"
    signal crowd KILL
    forget crowd
    if [ -z "$peak" ]; then
        failures+=("'$kind' ended the process")
        restart
        return 0
    fi
    local bad=""
    [ "$peak" -le $((memory_mb * 1024)) ] || bad+=" memory of $peak kB is over $memory_mb MiB;"
    [ "$fds" -lt $fds_bound ] || bad+=" $fds descriptors leave none of $fds_bound;"
    [ "$status" = "$(ordinary_status)" ] || bad+=" an ordinary request got '$status';"
    if [ -n "$bad" ]; then
        failures+=("'$kind':$bad")
        restart
    fi
}
kinds=("$@")

start_deployment 1 1
start_worker 1 i-1
wait_for 20 is_held 1 || cannot_run "the worker is not polled"
if [ "$role" = control ]; then
    large_configuration | sed 's/"version":1,/"version":2,/' > "$work/large.json"
    wait_for 20 is_put "$work/large.json" || cannot_run "the large configuration was not accepted"
fi
wait_for 20 answers_again || cannot_run "an ordinary request is not answered before the crowds"
echo "$role before: peak $(peak_kb) kB, descriptors $(descriptors)"

# In calm, a request of the largest legal size gets through to the process's own check.
calm=$(largest)
[ "$calm" = 400 ] || failures+=("the largest request inside the limits got '$calm' in calm")

crowd whole 350 262000
crowd pieces 350 262000
crowd chunks 350 262000
crowd tiny-chunks 350 131000
crowd announced 40 4000000
crowd chunks-overrun 40 8000000
crowd unread 350 1000000 GET
crowd headers 350 16000
crowd silent 700 0
if [ ${#failures[@]} -gt 0 ]; then
    printf 'FAILED: %s\n' "${failures[@]}" >&2
    exit 1
fi
echo "the process lives within its machine"
