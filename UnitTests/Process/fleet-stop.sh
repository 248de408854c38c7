#!/usr/bin/env bash
# Guards against calls that end without an answer when their entry is stopped as planned: a real
# entry gets SIGTERM while the only control process is frozen and callers wait on open connections.
set -euo pipefail
bin="${GUAVASHIFT_BIN:?the folder of the programs}"
work=$(mktemp -d)
pids=()
trap 'code=$?; [ $code -eq 0 ] || tail -n 20 "$work"/*.log >&2; for pid in "${pids[@]}"; do kill -CONT "$pid" 2> /dev/null && kill -KILL "$pid" 2> /dev/null; done; rm -rf "$work"; exit $code' EXIT

core=127.0.1.1
entry=127.0.1.2
operators="$core:24319"
ready="$entry:24318"
callers_port=24317

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS
wait_for() {
    local until=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$SECONDS" -lt "$until" ] || fail "never came true: $*"
        sleep 0.05
    done
}

# settings NAME IP LISTENERS: writes the settings file $work/NAME.toml
settings() {
    cat > "$work/$1.toml" << TOML
node_name = "$1"
zone = "z"
ip = "$2"
data_dir = "$work/$1"
bootstrap = true
internal_ports = [24310, 24315]
seed_nodes = ["$operators"]
[listen_addrs]
$3
[bounds]
grace_s = 3
TOML
}

# launch ROLE NAME: starts a process with its log in $work/NAME.log
launch() {
    GUAVASHIFT_NODE_FILE="$work/$2.toml" "$bin/guavashift-fleet" "$1" > "$work/$2.log" 2>&1 &
    pids+=($!)
}

# answers STATUS FILE: whether the file holds one complete answer with that status
answers() {
    grep -q "^HTTP/1.1 $1 " "$2" || return 1
    grep -qi '^connection: close' "$2" || return 1
    local length body
    length=$(sed -n 's/^[Cc]ontent-[Ll]ength: *\([0-9]*\).*/\1/p' "$2")
    body=$(sed '1,/^\r$/d' "$2" | wc -c)
    [ "$length" -gt 0 ] && [ "$length" -eq "$body" ]
}

settings core "$core" "control_plane = \"$operators\""
settings entry "$entry" "frontend = \"$entry:$callers_port\"
ready = \"$ready\""
launch control core
launch entry entry
cat > "$work/configuration.json" << 'JSON'
{"version":1,"routes":[{"name":"r","host":"desk.example","path_prefix":"/counter/","route_kind":"unsafe",
"timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"s","max_attempts":3,"stretch":1.5}],
"services":[{"name":"s","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,
"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,
"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
wait_for 20 curl -sf --noproxy '*' -X PUT --data-binary "@$work/configuration.json" "http://$operators/guavashift/config"
wait_for 20 curl -sf --noproxy '*' "http://$ready/guavashift/ready"

request=$'GET /counter/0123456789abcdef HTTP/1.1\r\nHost: desk.example\r\n\r\n'
exec 3<> "/dev/tcp/$entry/$callers_port" 4<> "/dev/tcp/$entry/$callers_port"
kill -STOP "${pids[0]}"
kill -TERM "${pids[1]}"
printf '%s' "$request" >&3
wait_for 5 grep -q event=refusing "$work/entry.log"
printf '%s' "$request" >&4
timeout 5 cat <&4 > "$work/refused" || fail "no end of the refused call"
timeout 5 cat <&3 > "$work/unknown" || fail "no end of the call that was passed on"
code=0
wait "${pids[1]}" || code=$?
answers 503 "$work/refused" || fail "a new call is not refused: $(cat "$work/refused")"
grep -qi '^retry-after: ' "$work/refused" || fail "the refusal does not say when to come again"
answers 504 "$work/unknown" || fail "a call that was passed on has no answer: $(cat "$work/unknown")"
[ "$code" -eq 0 ] || fail "the entry ended with $code"
echo "every caller got an answer"
