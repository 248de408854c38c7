# Functions of the tests with a small fleet of real processes; they extend those of review/common.sh.
# Sourced by these tests. It finds the programs, the stand-in among them, in the folder GUAVASHIFT_BIN.
set -euo pipefail
bin="$(realpath "${GUAVASHIFT_BIN:?the folder of the programs}")"
here=$(mktemp -d)
trap 'rm -rf "$here"' EXIT
# The layout that review/common.sh expects.
mkdir -p "$here/review" "$here/target/review"
ln -s "$(realpath "$(dirname "${BASH_SOURCE[0]}")")/../../review/common.sh" "$here/review/common.sh"
ln -s "$bin" "$here/target/bin"
ln -s "$bin/review-standin" "$here/target/review/review-standin"
source "$here/review/common.sh"
trap 'code=$?; finish "$code"; exit $code' EXIT

closing_port=$((proxy_port + 1))

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# finish CODE: ends all processes; keeps the record and the logs in LOGS
finish() {
    local running
    trap - ERR
    [ "$1" -eq 0 ] || grep -h 'level=error' "$work"/*.log 2> /dev/null | tail -n 10 >&2 || true
    [ -z "${LOGS:-}" ] || { mkdir -p "$LOGS"; cp "$record" "$work"/*.log "$LOGS"/; } || true
    # Signals that are still to be sent must not reach a later process.
    running=$(jobs -pr)
    [ -z "$running" ] || kill -KILL $running 2> /dev/null || true
    end_all 2> /dev/null
    rm -rf "$here"
}

# start_agent N: starts an agent that reaches its worker through a proxy
start_agent() {
    settings "side-$1" side "$net.3.$1" "control_plane = \"$net.3.$1:$control_port\""
    sed -i "s/^app = .*/app = \"$net.3.$1:$proxy_port\"/" "$work/side-$1.toml"
    launch "side-$1" agent
    start_proxy "$1"
}

# start_proxy N: starts the proxy between agent N and its worker
start_proxy() {
    "$tool" proxy --listen "$net.3.$1:$proxy_port" --to "$net.3.$1:$app_port" >> "$work/proxy$1.log" 2>&1 &
    pids[proxy$1]=$!
}

# close_connections N: lets the agent of side N reach its worker, through its proxy, on connections that close after each
# answer
close_connections() {
    signal "side-$1" TERM
    forget "side-$1"
    sed -i "s/^app = .*/app = \"$net.3.$1:$closing_port\"/" "$work/side-$1.toml"
    "$bin/guavashift-path-proxy" --listen "$net.3.$1:$closing_port" --to "$net.3.$1:$proxy_port" \
        --state "$work/closing$1" --close-after-answer >> "$work/closing$1.log" 2>&1 &
    pids[closing$1]=$!
    launch "side-$1" agent
}

# is_held N: whether worker N has been polled, so that it refuses a call with a token of 0
is_held() {
    [[ "$("$tool" call --method POST --to "$net.3.$1:$app_port" --path /guavashift/pace \
        --body '{"fencing_token":0}')" == 409* ]]
}

# The id of the worker on a side machine, if it isn't i-N.
declare -A worker_ids
id_of() { echo "${worker_ids[$1]:-i-$1}"; }

# gone N: notes the crash of worker N and waits for its end
gone() {
    signal "worker$1" KILL || true
    forget "worker$1"
    echo "{\"at\":$(now_ms),\"event\":\"gone\",\"worker\":\"$(id_of "$1")\"}" >> "$record"
}

newest_leader() {
    grep -H 'event=leading ' "$work"/core-*.log \
        | sed 's/.*core-\([0-9]\).log:time=\([0-9]*\).*/\2 \1/' | sort -n | tail -n 1 | cut -d' ' -f2 || true
}

# job WORK_MS COUNT CPU: the body of a submission
job() {
    echo "{\"task_spec\":\"work_ms=$1\",\"steps\":[{\"count\":$2,\"cpu\":$3,\"mem_mb\":500,\"estimate_ms\":$1}]}"
}

# early_seen: prints acknowledgements of ends that the lifetime had not had; fails if there are some
early_seen() {
    awk -F '[,:{}]' '
        { delete field; for (i = 2; i < NF; i++) field[$i] = $(i + 1) }
        { life = field["\"worker\""] "/" field["\"born\""] }
        field["\"event\""] == "\"end\"" { ends[life]++ }
        field["\"event\""] == "\"seen\"" && field["\"upto\""] > ends[life] + 0 { print; found = 1 }
        END { exit found }' "$record"
}
