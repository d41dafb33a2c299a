#!/bin/sh
# Runs a small fleet on loopback: five entry instances in three availability zones,
# three of them voters, four simulated engines and a simulated plain service. Applies
# a settings tree, sends a mix of prompts, kills an instance and an engine under load,
# prints the reports and stops all processes gracefully.
set -eu

here=$(cd "$(dirname "$0")" && pwd)
aretusa=$here/../aretusa
celeryport=$here/../../bin/celeryport
work=$(mktemp -d)
running=""

# stop_all kills the processes that are still running, however the script exits.
stop_all() {
	for pid in $running; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait
	rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

say() { printf 'demo: %s\n' "$*"; }

# start NAME COMMAND... runs a celeryport command in the background.
start() {
	name=$1
	shift
	"$celeryport" "$@" >"$work/$name.out" 2>"$work/$name.log" &
	running="$running $!"
	echo $! >"$work/$name.pid"
}

pid_of() { cat "$work/$1.pid"; }

# forget NAME removes a process from the list of running processes.
forget() {
	kept=""
	for pid in $running; do
		[ "$pid" = "$(pid_of "$1")" ] || kept="$kept $pid"
	done
	running=$kept
}

# wait_for SECONDS COMMAND... repeats the command until it succeeds, and exits with
# an error if it does not succeed in time.
wait_for() {
	tries=$(($1 * 5))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		if [ "$tries" -le 0 ]; then
			say "gave up waiting for: $*" >&2
			tail -n 5 "$work"/*.log >&2
			exit 1
		fi
		sleep 0.2
	done
}

instances="ortigia-1 ortigia-2 borgata-1 borgata-2 neapolis-1"
"$celeryport" standin ports --count 10 >"$work/ports"
line=0
for i in $instances; do
	line=$((line + 1))
	sed -n "${line}p" "$work/ports" >"$work/$i.traffic"
	sed -n "$((line + 5))p" "$work/ports" >"$work/$i.control"
done
control_of() { cat "$work/$1.control"; }
traffic_of() { cat "$work/$1.traffic"; }

settings_of() {
	zone=sala-${1%-*}
	cat <<EOF
[process]
name = $1
availability_zone = $zone
region = sicilia-est
EOF
	case $1 in
	*-1) printf 'voter = true\ndata_folder = %s\n' "$work/data-$1" ;;
	esac
	cat <<EOF
[listen]
address = $(traffic_of "$1")
[control]
address = $(control_of "$1")
[voters]
ortigia-1 = $(control_of ortigia-1)
borgata-1 = $(control_of borgata-1)
neapolis-1 = $(control_of neapolis-1)
[keys]
instance = file:$aretusa/keys/instance.key
operators = file:$aretusa/keys/operator.key
upstreams = file:$aretusa/keys/upstream.key
engine = file:$aretusa/keys/engine.key
EOF
}

say "starting 5 entry instances in 3 availability zones, 3 of them voters"
controls=""
traffics=""
for i in $instances; do
	mkdir -p "$work/data-$i"
	settings_of "$i" >"$work/$i.ini"
	"$celeryport" settings check "$work/$i.ini" >/dev/null
	start "$i" serve --settings "$work/$i.ini"
	controls="$controls,$(control_of "$i")"
	traffics="$traffics,$(traffic_of "$i")"
done
controls=${controls#,}
traffics=${traffics#,}

operator() {
	command=$1
	shift
	"$celeryport" "$command" "$@" --to "$controls" --key-file "$aretusa/keys/operator.key"
}

say "applying the settings tree"
wait_for 15 operator settings show
operator settings apply --base 0 --order-id demo-1 --file "$aretusa/tree.ini"

say "starting 4 engines and 1 plain service"
announce="--announce $(traffic_of ortigia-1) --announce $(traffic_of borgata-2)"
for e in 1 2 3 4; do
	# shellcheck disable=SC2086 # the addresses contain no spaces
	start "engine-$e" standin engine --name "engine-$e" --availability-zone sala-ortigia \
		--model modello-sarto --time-scale 20 --address-file "$work/engine-$e.address" --journal "$work/engine-$e.journal" \
		--upstream-key-file "$aretusa/keys/upstream.key" --engine-key-file "$aretusa/keys/engine.key" $announce
done
# shellcheck disable=SC2086
start cassa standin service --name cassa-1 --availability-zone sala-borgata \
	--service cassa-bottega --address-file "$work/cassa.address" --journal "$work/cassa.journal" \
	--upstream-key-file "$aretusa/keys/upstream.key" $announce

upstreams_fresh() { [ "$(operator upstreams | grep -c fresh)" -ge 5 ]; }
wait_for 15 upstreams_fresh
operator instances
operator upstreams
operator voter list
operator order list
"$celeryport" addresses --to "$(traffic_of ortigia-1)"

say "sending prompts of a thousand to a million tokens and fabric holds"
"$celeryport" load --mix aretusa --to "$(traffic_of ortigia-1)" --to "$(traffic_of borgata-1)" --to "$(traffic_of neapolis-1)" \
	--keys "$aretusa/callers.keys" --model modello-sarto --service cassa-bottega \
	--rate 20 --duration 10s --seed 7 --no-repeat-one-in 5 --resend-one-in 5 --counts-from "$(cat "$work/cassa.address")" \
	--counts-key-file "$aretusa/keys/engine.key" >"$work/load.out" 2>"$work/load.err" &
load=$!
running="$running $load"

sleep 3
say "killing the entry instance borgata-2 and engine-2"
kill -KILL "$(pid_of borgata-2)" "$(pid_of engine-2)"
forget borgata-2
forget engine-2

outcome=0
wait "$load" || outcome=$?
cat "$work/load.out"
[ "$outcome" -eq 0 ] || { tail -n 20 "$work/load.err"; say "the load tool found a broken promise (exit $outcome)" >&2; exit 1; }

"$celeryport" standin executions "$work"/*.journal

say "what the reports say"
operator settings show
operator report
operator burn

say "stopping everything gracefully"
for i in ortigia-1 ortigia-2 borgata-1 neapolis-1 engine-1 engine-3 engine-4 cassa; do
	kill -TERM "$(pid_of "$i")"
done
for i in engine-1 engine-3 engine-4 cassa ortigia-1 ortigia-2 borgata-1 neapolis-1; do
	wait "$(pid_of "$i")" || { say "$i ended with exit $?" >&2; tail -n 5 "$work/$i.log" >&2; exit 1; }
	forget "$i"
done

sed -n 's/^total: /demo: /p' "$work/load.out"
