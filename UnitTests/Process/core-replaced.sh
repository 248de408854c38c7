#!/usr/bin/env bash
# Guards against a control process that replaces a removed one and never becomes a voter, so that the next losses end the
# fleet's service for good: five control machines, of which two may lose their disks at once.
#   GUAVASHIFT_BIN=folder core-replaced.sh no-seed-leads|twice|seed-down|leader-killed
#   no-seed-leads  the successor's seeds are three followers
#   twice          two machines are replaced, and no successor has the leader among its seeds
#   seed-down      the successor's seeds are the removed machine and two followers, one of which is down at first
#   leader-killed  the leader is killed as the successor starts, and is back soon
# Then the two disks are lost that leave the successor to decide.
source "$(dirname "$0")/fleet.sh"

readonly case=${1:?a case} job=00000000000000c6 catch_up_s=6 recovery_s=15 finish_s=14
replaced=1

# core N SEED...: writes the settings of control machine N
core() {
    local n=$1 list=()
    shift
    for seed in "$@"; do list+=("\"$net.1.$seed:$control_port\""); done
    settings "core-$n" core "$net.1.$n" "control_plane = \"$net.1.$n:$control_port\""
    sed -i "s/^machines = .*/machines = 2/; s/^seed_nodes = .*/seed_nodes = [$(IFS=,; echo "${list[*]}")]/
        s/^bootstrap = .*/bootstrap = $bootstrap/" "$work/core-$n.toml"
    launch "core-$n" control
}

# remove N: ends control machine N for good
remove() {
    signal "core-$1" KILL
    forget "core-$1"
    sleep 1
}

# lose_disks N...: these machines lose their disks and are back at once
lose_disks() {
    local n
    for n in "$@"; do signal "core-$n" KILL; done
    for n in "$@"; do forget "core-$n"; done
    for n in "$@"; do rm -rf "$work/core-$n-data"; done
    for n in "$@"; do core "$n" "${seeds[@]}"; done
}

# followers: sets `leads` and the running followers
followers() {
    local n
    leads=$(newest_leader) others=()
    for n in "${running[@]}"; do [ "$n" = "$leads" ] || others+=("$n"); done
}

voters_complete() {
    grep -h 'event=membership-proposed' "$work"/core-*.log | sort | tail -n 1 | grep -q 'members=5 voters=5'
}

is_configured() {
    local n
    for n in "${running[@]}"; do
        [[ "$("$tool" call --to "$net.1.$n:$control_port" --path /guavashift/config)" == 200* ]] && return 0
    done
    return 1
}

bootstrap=true
for n in 1 2 3 4 5; do core $n 1 2 3; done
bootstrap=false
settings edge-1 edge "$net.2.1" "frontend = \"$net.2.1:$caller_port\"
ready = \"$net.2.1:$ready_port\""
launch edge-1 entry
start_agent 1
start_worker 1 i-1
wait_for 20 put_configuration || cannot_run "the configuration was not accepted"
wait_for 20 is_ready 1 || cannot_run "the entry is not ready"
submit 1 $job "$(job 300 1 1000)"
wait_for 20 has_state $job completed || cannot_run "the job is not completed"
wait_for 20 voters_complete || cannot_run "five control processes are not voters"

running=(1 2 3 4 5)
followers
note "core-$leads leads"
removed=${others[3]}
running=("$leads" "${others[@]:0:3}" 6)
remove "$removed"
case $case in
no-seed-leads) seeds=("${others[@]:0:3}") ;;
twice) seeds=("${others[@]:0:3}") replaced=2 ;;
seed-down) seeds=("$removed" "${others[@]:0:2}") ;;
leader-killed) seeds=("${others[@]:0:3}") ;;
*) cannot_run "there is no case $case" ;;
esac
case $case in
seed-down)
    signal "core-${others[0]}" KILL
    forget "core-${others[0]}"
    core 6 "${seeds[@]}"
    sleep 5
    launch "core-${others[0]}" control
    ;;
leader-killed)
    signal "core-$leads" KILL
    forget "core-$leads"
    core 6 "${seeds[@]}"
    sleep 2
    launch "core-$leads" control
    ;;
*) core 6 "${seeds[@]}" ;;
esac
sleep $catch_up_s
if [ "$replaced" = 2 ]; then
    remove "${others[2]}"
    seeds=("${others[0]}" "${others[1]}" "$removed")
    running=("$leads" "${others[@]:0:2}" 6 7)
    core 7 "${seeds[@]}"
    sleep $catch_up_s
fi
followers
note "core-$leads leads"
# The leader and a follower that is no successor.
for n in "${others[@]}"; do [ "$n" -ge 6 ] || lost=$n; done
lose_disks "$leads" "$lost"
sleep $recovery_s
wait_for $finish_s has_state $job completed || fail "the job is lost"
wait_for $finish_s is_configured || fail "the configuration is lost"
echo "$case: the job and the configuration are there after the loss of core-$leads and core-$lost"
