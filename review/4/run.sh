#!/usr/bin/env bash
# A worker crashes silently and is back at once under its id, while a job is handed in.
here="$(cd "$(dirname "$0")" && pwd)"
source "$here/../common.sh"
sides=8

start_deployment $sides 1
# The agent on side 1 reaches its worker through a proxy, which can be silent.
settings side-1 side "$net.3.1" "control_plane = \"$net.3.1:$control_port\""
sed -i "s/^app = .*/app = \"$net.3.1:$proxy_port\"/" "$work/side-1.toml"
signal side-1 TERM
forget side-1
launch side-1 agent
"$tool" proxy --listen "$net.3.1:$proxy_port" --to "$net.3.1:$app_port" >> "$work/proxy.log" 2>&1 &
pids[proxy]=$!
for n in $(seq 1 $sides); do start_worker "$n" "i-$n"; done
sleep 3
body() { echo "{\"task_spec\":\"work_ms=$1\",\"steps\":[{\"count\":32,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":$1}]}"; }
started() { [ "$(count "\"event\":\"start\".*\"task\":\"$1.*\"run\":1,")" -ge 32 ]; }
# A short job first, so that the agents hold open connections to their workers.
submit 1 00000000000000a1 "$(body 300)"
wait_for 10 has_state 00000000000000a1 completed || cannot_run "the first job is not completed"
if [ "$trouble" = 1 ]; then
    signal proxy USR1
    signal worker1 KILL
    echo "{\"at\":$(now_ms),\"event\":\"gone\",\"worker\":\"i-1\"}" >> "$record"
    forget worker1
    submit 1 00000000000000a2 "$(body 6000)" &
    sleep 0.4
    start_worker 1 i-1 --first-report-ms 500
    sleep 0.05
    signal proxy USR2
else
    submit 1 00000000000000a2 "$(body 6000)"
fi
wait_for 20 has_state 00000000000000a2 completed || note "the job is not completed"
sleep 1
judge_twice
