# Functions of the review's scripts: a small deployment of real processes on loopback addresses.
# Sourced by run.sh of each case, which sets `here` to its folder.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export GUAVASHIFT_METRICS_PORT=9464
tool=target/review/review-standin
trouble="${TROUBLE:-1}"
record="$here/record.txt"
work="$(mktemp -d)"
declare -A pids
net="127.$((16 + $$ % 200))"

cannot_run() {
    echo "could not run: $*" >&2
    exit 2
}

end_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2> /dev/null || true
        kill -KILL "${pids[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    [ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"
    rm -rf "$work"
}
trap 'code=$?; end_all; exit $code' EXIT
trap 'exit 2' INT TERM
# A command that fails unexpectedly says nothing about the rule.
trap 'cannot_run "line $LINENO of $0"' ERR

[ -x target/bin/guavashift-fleet ] || cannot_run "the build of the deploy file is missing"
[ -x "$tool" ] || cannot_run "review/build.sh has not run"
: > "$record"
base="$("$tool" ports --count 16)" || cannot_run "no free ports"
control_port=$((base + 8)) caller_port=$((base + 9)) ready_port=$((base + 10)) app_port=$((base + 11))
proxy_port=$((base + 12))

now_ms() { date +%s%3N; }

# note TEXT: adds a line to the record
note() { echo "{\"at\":$(now_ms),\"event\":\"note\",\"text\":\"$1\"}" >> "$record"; }

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; returns 1 after SECONDS
wait_for() {
    local until=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$SECONDS" -lt "$until" ] || return 1
        sleep 0.02
    done
}

# settings NAME CLASS IP LISTENERS: writes the settings file of a process
settings() {
    cat > "$work/$1.toml" << TOML
node_name = "$1"
role = "$2"
machine_class = "$2"
ip = "$3"
zone = "z"
region = "r"
internal_ports = [$base, $((base + 7))]
seed_nodes = ["$net.1.1:$control_port", "$net.1.2:$control_port", "$net.1.3:$control_port"]
bootstrap = true
data_dir = "$work/$1-data"
heartbeat_ms = 1500
orders = "request"
service = "desk"
app = "$3:$app_port"
policies = ["base", "drain", "config", "cost", "recover", "sched"]
config_mode = "highest"
[zones]
z = "r"
[listen_addrs]
$4
[limits]
cpu_share = 1.0
cpu_cores = 1
memory_mb = 256
max_fds = 4096
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 6000
stop_grace_ms = 400
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 1.5
thaw_slack_ms = 300
fencing_required = true
TOML
}

# launch NAME ROLE: starts a process with the command of the deploy file
launch() {
    GUAVASHIFT_NODE_FILE="$work/$1.toml" target/bin/guavashift-fleet "$2" >> "$work/$1.log" 2>&1 &
    pids[$1]=$!
    note "started $1"
}

# signal NAME SIGNAL: sends a signal to a process that this script started
signal() {
    note "$2 to $1"
    kill "-$2" "${pids[$1]}"
}

# forget NAME: waits for a process that was killed
forget() {
    wait "${pids[$1]}" 2> /dev/null || true
    unset "pids[$1]"
}

# start_worker N ID ARGUMENTS...: starts the stand-in of the worker on side machine N
start_worker() {
    local n=$1 id=$2
    shift 2
    "$tool" worker --listen "$net.3.$n:$app_port" --agent "$net.3.$n:$control_port" --id "$id" \
        --record "$record" "$@" >> "$work/worker$n.log" 2>&1 &
    pids[worker$n]=$!
}

start_agent() {
    settings "side-$1" side "$net.3.$1" "control_plane = \"$net.3.$1:$control_port\""
    launch "side-$1" agent
}

# start_deployment SIDES ENTRIES: starts three core machines, the entries, and agents without workers
start_deployment() {
    local n
    for n in 1 2 3; do
        settings "core-$n" core "$net.1.$n" "control_plane = \"$net.1.$n:$control_port\""
        launch "core-$n" control
    done
    for n in $(seq 1 "$2"); do
        settings "edge-$n" edge "$net.2.$n" "frontend = \"$net.2.$n:$caller_port\"
ready = \"$net.2.$n:$ready_port\""
        launch "edge-$n" entry
    done
    for n in $(seq 1 "$1"); do start_agent "$n"; done
    wait_for 20 put_configuration || cannot_run "the configuration was not accepted"
    for n in $(seq 1 "$2"); do
        wait_for 20 is_ready "$n" || cannot_run "an entry is not ready"
    done
}

configuration='{"version":1,"routes":[{"name":"r-jobs","host":"desk.example","path_prefix":"/jobs/","route_kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"desk","max_attempts":3,"stretch":2.0}],"services":[{"name":"desk","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'

put_configuration() {
    local n
    for n in 1 2 3; do
        [[ "$("$tool" call --method PUT --to "$net.1.$n:$control_port" --path /guavashift/config \
            --record "$record" --body "$configuration")" == 200* ]] && return 0
    done
    return 1
}

is_ready() { [[ "$("$tool" call --to "$net.2.$1:$ready_port" --path /guavashift/ready)" == 200* ]]; }

# ask ENTRY METHOD JOB [BODY [DEADLINE_MS]]: one call of a client; prints its status and body
ask() {
    "$tool" call --method "$2" --to "$net.2.$1:$caller_port" --path "/jobs/$3" \
        --host desk.example --record "$record" --body "${4:-}" --deadline-ms "${5:-3000}"
}

# submit ENTRY JOB BODY: hands a job in until it is accepted
submit() {
    local try
    for try in 1 2 3 4 5; do
        [[ "$(ask "$1" POST "$2" "$3")" == 200* ]] && return 0
        sleep 0.3
    done
    cannot_run "job $2 was not accepted"
}

state_of() { ask 1 GET "$1" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'; }
has_state() { [ "$(state_of "$1")" = "$2" ]; }

# judge_twice: ends the script by whether the record breaks TWICE
judge_twice() {
    local code=0
    "$tool" twice --record "$record" || code=$?
    exit $code
}

# events PATTERN: the lines of the record that match
events() { grep -E "$1" "$record" || true; }
count() { events "$1" | wc -l; }
