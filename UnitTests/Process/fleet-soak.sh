#!/usr/bin/env bash
# Guards against tasks that run twice, and ends that are acknowledged before they are there, under overlapping faults
# of real processes. The faults are drawn from a seed.
#   [SEED=n] [SIDES=6] [TRAFFIC_S=25] [KINDS="refuse late ..."] [LOGS=folder] GUAVASHIFT_BIN=folder fleet-soak.sh
# Without SEED it plays fixed ones. The seed fixes the faults and the jobs; their timing depends on the machine.
# KINDS names what is drawn beside the faults that always are; with SEED it is all of them:
#   refuse   paths to workers that refuse connections while the workers run on
#   late     answers of workers that arrive late
#   close    a third of the workers close each connection after its answer
#   new-ids  most workers come back under a new id
#   power    agents and workers that are killed together
#   waves    planned leaves of several workers that overlap with crashes and impaired paths
#   cancel   jobs that are cancelled
#   reports  reports that the present lifetime of their worker did not send arrive at agents
#   next-agent  agents are frozen or restarted, and meanwhile their workers report, and say goodbye, to the next agents
#   replace  control machines are removed for good, and others are added at new addresses whose seeds do not lead
# Not covered: cuts between agents and control, disks, clocks, configuration, gangs, frozen workers.
old_kinds="refuse late close new-ids power waves cancel"
report_kinds="$old_kinds reports next-agent"
all_kinds="$report_kinds replace"
if [ -z "${SEED:-}" ]; then
    for seed in 11 34; do
        SEED=$seed KINDS= LOGS=${LOGS:+$LOGS/$seed} "$0" || exit
    done
    SEED=204 KINDS=$old_kinds LOGS=${LOGS:+$LOGS/204} "$0" || exit
    # Guards against lifetimes that end by a report of another one.
    SEED=700 KINDS=$report_kinds LOGS=${LOGS:+$LOGS/700} "$0" || exit
    exit
fi
source "$(dirname "$0")/fleet.sh"
sides=${SIDES:-6} traffic_s=${TRAFFIC_S:-25} kinds=${KINDS-$all_kinds}
judge() {
    [ "$1" -eq 0 ] || echo "FAILED with SEED=$SEED SIDES=$sides TRAFFIC_S=$traffic_s KINDS=\"$kinds\"" >&2
    finish "$1"
}
trap 'code=$?; judge "$code"; exit $code' EXIT
RANDOM=$SEED
for kind in $kinds; do [[ " $all_kinds " == *" $kind "* ]] || cannot_run "$kind is not one of $all_kinds"; done

plays() { [[ " $kinds " == *" $1 "* ]]; }
# draw LIMIT: sets `drawn` to a number below LIMIT. A subshell would not draw from the seed.
draw() { drawn=$((RANDOM % $1)); }
draw_side() { draw "$sides"; side=$((1 + drawn)); }
nap() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }
# draw_nap LEAST SPREAD: waits for LEAST to LEAST + SPREAD ms
draw_nap() { draw "$2"; nap $(($1 + drawn)); }

role() { case $1 in core-*) echo control ;; edge-*) echo entry ;; *) echo agent ;; esac; }

# later NAME SIGNAL LEAST SPREAD: sends the signal after a drawn time
later() {
    draw "$4"
    (nap $(($3 + drawn)); kill "-$2" "${pids[$1]}" 2> /dev/null || true) &
    laters+=($!)
}
# freeze NAME LEAST SPREAD
freeze() { signal "$1" STOP; later "$1" CONT "$2" "$3"; }
# restart NAME SIGNAL LEAST SPREAD
restart() { signal "$1" "$2"; forget "$1"; draw_nap "$3" "$4"; launch "$1" "$(role "$1")"; }
draw_process() {
    draw 10
    case $drawn in
    [0-3]) draw 3; process=core-${cores[drawn]} ;;
    4) draw 2; process=edge-$((1 + drawn)) ;;
    *) draw_side; process=side-$side ;;
    esac
}

freeze_one() { draw_process; freeze "$process" 300 6000; }
freeze_zone() {
    local zone n
    draw 3; zone=$drawn
    freeze "core-${cores[zone]}" 300 5000
    freeze "edge-$((1 + zone % 2))" 300 5000
    for n in $(seq $((zone + 1)) 3 "$sides"); do freeze "side-$n" 300 5000; done
}
freeze_control() { local n; for n in "${cores[@]}"; do freeze "core-$n" 500 5000; done; }
lose_leader_and_agents() {
    local n leader
    leader=core-$(newest_leader)
    for n in 1 2 3; do draw_side; freeze "side-$side" 200 4000; done
    draw 2
    # The one that led last may have been removed.
    [ -n "${pids[$leader]:-}" ] || return 0
    if [ "$drawn" = 0 ]; then restart "$leader" KILL 100 2000; else freeze "$leader" 300 5000; fi
}
kill_one() { draw_process; restart "$process" KILL 100 900; }
kill_control() {
    local n
    for n in "${cores[@]}"; do signal "core-$n" KILL; done
    for n in "${cores[@]}"; do forget "core-$n"; done
    draw_nap 200 3000
    for n in "${cores[@]}"; do launch "core-$n" control; done
}
kill_agents() {
    local n
    for n in $(seq 1 "$sides"); do
        draw 3
        [ "$drawn" != 0 ] || restart "side-$n" KILL 0 300
    done
}
# A stop as planned that may be cut short.
stop_one() {
    draw_process
    signal "$process" TERM
    draw_nap 50 300
    kill -KILL "${pids[$process]}" 2> /dev/null || true
    forget "$process"
    draw_nap 100 500
    launch "$process" "$(role "$process")"
}
stop_agents() {
    local n
    for n in $(seq 1 "$sides"); do
        signal "side-$n" TERM
        draw_nap 20 300
        draw 3
        [ "$drawn" != 0 ] || kill -KILL "${pids[side-$n]}" 2> /dev/null || true
        # A frozen process would not end until it continues.
        kill -CONT "${pids[side-$n]}" 2> /dev/null || true
        forget "side-$n"
        launch "side-$n" agent
    done
}
stop_control() { local n; for n in "${cores[@]}"; do kill -CONT "${pids[core-$n]}"; restart "core-$n" TERM 0 400; done; }
# successors_vote: whether the last control machine that was added is a voter, and the removed one is none
successors_vote() {
    [ "$replaced_at" = 0 ] || grep -h 'event=membership-proposed' "$work"/core-*.log | sort | tail -n 1 \
        | sed 's/^time=//' | awk -v at="$replaced_at" '{ exit !($1 > at && / members=3 voters=3/) }'
}
# A control machine is removed for good and another one is added, whose seeds are machines that do not lead. Only one
# disk at a time may be lost, so the last successor must be a voter before.
replace_control() {
    local n seeds=() leader
    leader=$(newest_leader)
    draw 3
    if [ "$next_core" -gt 9 ] || ! successors_vote; then return; fi
    for n in "${cores[@]}"; do [ "$n" = "$leader" ] || seeds+=("\"$net.1.$n:$control_port\""); done
    n=${cores[drawn]}
    signal "core-$n" KILL
    forget "core-$n"
    replaced_at=$(now_ms)
    cores[drawn]=$next_core
    n=$next_core
    next_core=$((next_core + 1))
    settings "core-$n" core "$net.1.$n" "control_plane = \"$net.1.$n:$control_port\""
    sed -i "s/^seed_nodes = .*/seed_nodes = [$(IFS=,; echo "${seeds[*]}")]/; s/^bootstrap = .*/bootstrap = false/" "$work/core-$n.toml"
    launch "core-$n" control
}
# The proxies of fleet.sh are replaced by those that know all states.
start_proxy() {
    local closes=()
    if plays close && [ $(((SEED + $1) % 3)) = 0 ]; then closes=(--close-after-answer); fi
    "$bin/guavashift-path-proxy" --listen "$net.3.$1:$proxy_port" --to "$net.3.$1:$app_port" --state "$work/path$1" \
        --seed "$((SEED * 1000 + $1))" "${closes[@]}" >> "$work/proxy$1.log" 2>&1 &
    pids[proxy$1]=$!
}
# path N STATE: sets the state of the path to worker N
path() { echo "$2" > "$work/path$1"; signal "proxy$1" HUP; }
# impair STATE LEAST SPREAD: impairs the path to the worker of `side` for a drawn time
impair() {
    local n=$side
    path "$n" "$1"
    draw "$3"
    (nap $(($2 + drawn)); path "$n" pass) &
    laters+=($!)
}
# come_back N ARGUMENTS...: starts the next lifetime of worker N
come_back() {
    local n=$1
    shift
    if plays new-ids; then
        draw 4
        [ "$drawn" = 0 ] || worker_ids[$n]="i-$n-$((lives += 1))"
    fi
    start_worker "$n" "$(id_of "$n")" "$@"
}
silence_path() { draw_side; impair silent 300 7000; }
refuse_path() { draw_side; impair refuse 300 7000; }
late_path() { draw_side; impair late 2000 8000; }
crash_worker() { draw_side; gone "$side"; draw_nap 50 3000; come_back "$side"; }
crash_silent_worker() {
    draw_side
    path "$side" silent
    gone "$side"
    draw_nap 50 1500
    draw 2500
    come_back "$side" --first-report-ms "$drawn"
    impair silent 0 1000
}
leave_worker() { draw_side; signal "worker$side" USR1; forget "worker$side"; draw_nap 100 1500; come_back "$side"; }
lose_power() {
    local n first_report
    for n in $(seq 1 "$sides"); do
        draw 4
        [ "$drawn" = 0 ] || continue
        signal "side-$n" KILL
        gone "$n"
        forget "side-$n"
        launch "side-$n" agent
        draw 1500; first_report=$drawn
        come_back "$n" --first-report-ms "$first_report"
    done
}
# About half of the workers leave as planned. Meanwhile some of them crash, their agents or paths fail, and one of the
# other workers crashes.
leave_in_wave() {
    local n leaving=() others=()
    for n in $(seq 1 "$sides"); do
        draw 2
        if [ "$drawn" = 0 ]; then others+=("$n"); continue; fi
        signal "worker$n" USR1
        leaving+=("$n")
        draw_nap 0 200
    done
    for n in "${leaving[@]}"; do
        side=$n
        draw 8
        case $drawn in
        0) gone "$n" ;;
        1) restart "side-$n" KILL 0 300 ;;
        2) freeze "side-$n" 300 3000 ;;
        3) impair silent 300 3000 ;;
        4) ! plays refuse || impair refuse 300 3000 ;;
        esac
    done
    if [ ${#others[@]} -gt 0 ]; then
        draw ${#others[@]}; n=${others[drawn]}
        gone "$n"
        draw_nap 50 1500
        come_back "$n"
    fi
    for n in "${leaving[@]}"; do
        [ -z "${pids[worker$n]:-}" ] || forget "worker$n"
        come_back "$n"
    done
}
# lives_of N: the id and time of birth of each lifetime of worker N
lives_of() {
    events '"event":"born"' | sed -n "s/.*\"born\":\([0-9]*\).*\"worker\":\"\(i-$1\(-[0-9]*\)\?\)\".*/\2 \1/p"
}
# report AGENT ID N BORN SERVICE STATE SEQUENCE: sends a report of worker ID on side N to an agent; keeps the answer's status
report() {
    local status sent
    sent=$(now_ms)
    status=$(curl -s -m 1 -o /dev/null -w '%{http_code}' -X PUT -H 'Content-Type: application/json' \
        "http://$net.3.$1:$control_port/guavashift/instances/$2" \
        -d "{\"service\":\"$5\",\"address\":\"$net.3.$3:$app_port\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"$6\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":64000,\"mem_mb\":256000,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":100,\"sequence\":$7,\"born\":$4}") || true
    echo "{\"at\":$(now_ms),\"event\":\"foreign-report\",\"agent\":$1,\"id\":\"$2\",\"reported\":$4,\"sent\":$sent,\"status\":\"$status\"}" >> "$record"
}
# say_goodbye AGENT ID BORN: sends a goodbye of worker ID to an agent that is not its own; keeps the answer's status
say_goodbye() {
    local status sent
    sent=$(now_ms)
    status=$(curl -s -m 1 -o /dev/null -w '%{http_code}' -X DELETE "http://$net.3.$1:$control_port/guavashift/instances/$2") || true
    echo "{\"at\":$(now_ms),\"event\":\"foreign-report\",\"agent\":$1,\"id\":\"$2\",\"reported\":$3,\"sent\":$sent,\"status\":\"$status\"}" >> "$record"
}
# Reports of another lifetime arrive at an agent, one or a few in a row.
foreign_reports() {
    local to other what id n born=0 service=desk state=ready sequence number gap shift lives
    draw_side; to=$side
    draw_side; other=$side
    draw 5; what=$drawn
    draw 2; [ "$drawn" = 0 ] || state=draining
    draw 2; [ "$drawn" = 0 ] || service=nosuch
    draw 2; sequence=$((drawn == 0 ? 5 : 900000))
    draw 4; number=$((1 + drawn))
    draw 700; gap=$drawn
    draw 5000; shift=$((1 + drawn))
    draw 32768
    mapfile -t lives < <(lives_of "$to")
    [ ${#lives[@]} -gt 0 ] || return 0
    id=${lives[-1]% *} n=$to born=${lives[-1]#* }
    # Its first lifetime follows none.
    [ "$what" != 3 ] || [ ${#lives[@]} -gt 1 ] || what=1
    [ "$what" != 4 ] || [ "$other" != "$to" ] || what=0
    case $what in
    0) id=x-$to-$drawn n=$((drawn % 2 == 0 ? to : 200 + to)) born=$(($(now_ms) + shift - 2500)) ;;
    1) born=$((born + shift)) service=desk state=ready ;;
    2) born=$((born - shift)) service=desk ;;
    3) drawn=$((drawn % (${#lives[@]} - 1))); id=${lives[drawn]% *} born=${lives[drawn]#* } service=desk ;;
    4)
        mapfile -t lives < <(lives_of "$other")
        id=${lives[-1]% *} n=$other born=${lives[-1]#* } service=desk
        ;;
    esac
    note "$number reports of $id, born $born, $state, $service, to side-$to"
    (
        while [ "$number" -gt 0 ]; do
            number=$((number - 1)) sequence=$((sequence + 1))
            report "$to" "$id" "$n" "$born" "$service" "$state" "$sequence"
            nap "$gap"
        done
    ) &
}
# report_elsewhere N: worker N reports to the next two agents for some seconds, as it does while its own does not
# acknowledge; at the end it says goodbye to them
report_elsewhere() {
    local n=$1 next life id born state=ready reports
    draw 3; [ "$drawn" != 0 ] || state=draining
    draw 4; reports=$((2 + drawn))
    life=$(lives_of "$n" | tail -n 1)
    [ -n "$life" ] || return 0
    id=${life% *} born=${life#* }
    note "$reports reports of $id, born $born, $state, to the agents after side-$n"
    (
        for sequence in $(seq 500 $((499 + reports))); do
            for next in $((n % sides + 1)) $(((n + 1) % sides + 1)); do
                report "$next" "$id" "$n" "$born" desk "$state" "$sequence"
            done
            nap 600
        done
        for next in $((n % sides + 1)) $(((n + 1) % sides + 1)); do say_goodbye "$next" "$id" "$born"; done
    ) &
    laters+=($!)
}
# Some agents are frozen or restarted for long enough that their workers report elsewhere.
lose_agents() {
    local n
    for n in $(seq 1 "$sides"); do
        draw 6
        case $drawn in
        0 | 1) report_elsewhere "$n"; freeze "side-$n" 1200 4000 ;;
        2) report_elsewhere "$n"; restart "side-$n" KILL 200 1500 ;;
        esac
    done
}

faults=(freeze_one freeze_one freeze_zone freeze_control lose_leader_and_agents kill_one kill_control kill_agents
    stop_one stop_agents stop_control silence_path silence_path crash_worker crash_silent_worker crash_silent_worker leave_worker)
! plays refuse || faults+=(refuse_path refuse_path refuse_path)
! plays late || faults+=(late_path late_path)
! plays power || faults+=(lose_power)
! plays waves || faults+=(leave_in_wave)
! plays next-agent || faults+=(lose_agents lose_agents)
! plays replace || faults+=(replace_control replace_control replace_control)
# shuffle: a new order of the faults, so that each kind has its turn
shuffle() {
    local at other
    for ((at = ${#faults[@]} - 1; at > 0; at--)); do
        draw $((at + 1))
        other=${faults[at]}
        faults[at]=${faults[drawn]}
        faults[drawn]=$other
    done
}

# cancel_some JOB: cancels one of five jobs after a drawn time, at most three times
cancel_some() {
    draw 5
    [ "$drawn" = 0 ] || return 0
    draw 2500
    (
        nap "$drawn"
        for try in 1 2 3; do
            [[ "$(ask $((1 + try % 2)) DELETE "$1")" != 200* ]] || break
        done
    ) &
}
traffic() {
    local job=0 work count id
    RANDOM=$((SEED + 1))
    while [ "$SECONDS" -lt "$end" ]; do
        job=$((job + 1))
        draw 4000; work=$((300 + drawn))
        draw 20; count=$((4 + drawn))
        id=$(printf '%016x' $((SEED * 10000 + job)))
        ask $((1 + job % 2)) POST "$id" "$(job "$work" "$count" 2000)" > /dev/null || true
        ! plays cancel || cancel_some "$id"
        draw_nap 150 300
    done
    wait
}

send_foreign_reports() {
    RANDOM=$((SEED + 2))
    while [ "$SECONDS" -lt "$end" ]; do
        foreign_reports
        draw_nap 200 1500
    done
    wait
}

# was_present SIDE ID BORN SENT: whether that is an ended lifetime of the worker there, and its agent had seen neither its
# end nor a later lifetime when the report was sent
was_present() {
    local lives
    lives=$(lives_of "$1")
    grep -qxF "$2 $3" <<< "$lives" || return 1
    LIVES=$lives awk -v life="$2 $3" -v sent="$4" '
        BEGIN {
            count = split(ENVIRON["LIVES"], lives, "\n")
            for (i = 1; i <= count; i++) { if (ended) later[lives[i]]; if (lives[i] == life) ended = 1 }
        }
        { delete field; for (i = 1; i <= NF; i++) { split($i, pair, "="); field[pair[1]] = pair[2] } }
        field["time"] + 0 > sent + 0 { exit }
        { named = field["worker"] " " field["born"] }
        field["event"] == "started" { present = "" }
        field["event"] == "worker-found" { present = named; if (named in later) knows = 1 }
        field["event"] == "lifetime-ended" && named == life && field["proof"] ~ /^answered/ { present = "" }
        END { exit !(present == life && !knows) }' "$work/side-$1.log"
}
# wrongly_taken: prints the acknowledged reports of other lifetimes. Their senders count on an acknowledgement, so only the
# agent of that worker may give it.
wrongly_taken() {
    local line fields='s/.*"agent":\([0-9]*\),"id":"\([^"]*\)","reported":\([0-9]*\),"sent":\([0-9]*\).*/\1 \2 \3 \4/'
    while read -r line; do
        was_present $(sed "$fields" <<< "$line") || echo "$line"
    done < <(events '"event":"foreign-report".*"status":"2')
}

laters=() lives=0 cores=(1 2 3) next_core=4 replaced_at=0
start_deployment "$sides" 2
for n in $(seq 1 "$sides"); do start_worker "$n" "i-$n"; done
for n in $(seq 1 "$sides"); do wait_for 20 is_held "$n" || cannot_run "worker $n is not polled"; done
end=$((SECONDS + traffic_s))
traffic &
load=$!
if plays reports; then send_foreign_reports & laters+=($!); fi
played=0
while [ "$SECONDS" -lt "$end" ]; do
    at=$((played % ${#faults[@]}))
    [ "$at" -ne 0 ] || shuffle
    played=$((played + 1))
    note "fault $played: ${faults[at]}"
    ${faults[at]}
    draw_nap 100 1000
done
wait "$load" "${laters[@]}" || true
last=$(printf '%016x' $((SEED * 10000 + 9999)))
# The last fault may be a restart of all control processes.
accepts_last() { [[ "$(ask 1 POST "$last" "$(job 500 4 2000)")" == 200* ]]; }
wait_for 15 accepts_last || fail "the last job was not accepted"
# catch_up_s, counted from the last fault.
wait_for 15 successors_vote || fail "core-$((next_core - 1)) is no voter"
wait_for 15 has_state "$last" completed || note "the last job is not completed"
echo "seed $SEED: $played faults, $((next_core - 4)) control machines replaced"
failures=()
"$tool" twice --record "$record" || failures+=("tasks ran twice")
early_seen || failures+=("ends were acknowledged that a lifetime had not had")
taken=$(wrongly_taken)
[ -z "$taken" ] || { head -n 10 <<< "$taken"; failures+=("reports of other lifetimes were acknowledged"); }
[ ${#failures[@]} -eq 0 ] || fail "$(IFS=";"; echo "${failures[*]}")"
runs=$(count '"event":"end"')
[ "$runs" -ge $((traffic_s * 8)) ] || fail "only $runs runs ended"
