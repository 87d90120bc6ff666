#!/bin/bash
# Runs a small Nefeli deployment on loopback from start to end: the store stand-in, two entries,
# three request-serving instances and six workers with their agents. $1 is the folder of the programs.
set -euo pipefail
bin=$1
work=$(mktemp -d)
pids=()
operator=nefeli-operator-token
organisation=${DEMO_ORGANISATION:-amorgos-growers}
token=$organisation-token
zones=(naxos tinos andros)

say() { printf '\n== %s\n' "$*"; }

# Stops the processes of this script in reverse order of their start and waits for each.
stop_all() {
	local i
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
	done
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		wait "${pids[i]}" 2>/dev/null || true
	done
	pids=()
}

cleanup() {
	local code=$?
	stop_all
	if [ "$code" -ne 0 ]; then
		echo "demo failed; the last lines of the logs:" >&2
		tail -n 3 "$work"/*.log >&2 || true
	fi
	rm -rf "$work"
	exit "$code"
}
trap cleanup EXIT

# start LABEL PROGRAM ARGUMENTS...: starts a program, waits for its first line of output and
# sets address1 and address2 to the addresses in it.
start() {
	local label=$1 program=$2 tries
	shift 2
	"$bin/$program" "$@" >"$work/$label.out" 2>"$work/$label.log" &
	pids+=($!)
	for ((tries = 0; tries < 200; tries++)); do
		grep -qs listening "$work/$label.out" && break
		sleep 0.05
	done
	read -r address1 address2 < <(grep -o '[0-9.]*:[0-9]*' "$work/$label.out" | tr '\n' ' ') || true
}

start store fake_store --listen 127.0.0.1:0
store=http://$address1
entries=()
for i in 0 1; do
	start "entry-$i" jaycourse-entry --set "node=entry-$i" --set region=cyclades \
		--set "zone=${zones[i]}" --set http_address=127.0.0.1:0 \
		--set peer_address=127.0.0.1:0 --set "store_endpoints=$store"
	entries+=("$address1")
done
export JAYCOURSE_ENTRY=http://${entries[0]}

say "Operators check and apply the configuration folder examples/nefeli"
"$bin/jaycourse" config check examples/nefeli
JAYCOURSE_TOKEN=$operator "$bin/jaycourse" config apply --base 0 examples/nefeli

instances=()
for i in 0 1 2; do
	start "agent-instance-$i" jaycourse-agent --set "node=agent-instance-$i" --set region=cyclades \
		--set "zone=${zones[i]}" --set "rack=${zones[i]}-r0" --set http_address=127.0.0.1:0 \
		--set peer_address=127.0.0.1:0 --set "store_endpoints=$store" --set "seeds=${entries[0]}"
	start "instance-$i" fake_service --listen 127.0.0.1:0 --agent "http://$address1" \
		--service harvest-planner --target "instance-$i" --slots 8 --connections 64 --work-ms 5
	instances+=("$address1")
done
for i in 0 1 2 3 4 5; do
	rack=$((i / 3))
	start "agent-worker-$i" jaycourse-agent --set "node=agent-worker-$i" --set region=cyclades \
		--set "zone=${zones[rack]}" --set "rack=${zones[rack]}-r0" \
		--set http_address=127.0.0.1:0 --set peer_address=127.0.0.1:0 \
		--set "store_endpoints=$store" --set "seeds=${entries[0]}"
	start "worker-$i" fake_worker --listen 127.0.0.1:0 --agent "http://$address1" \
		--target "worker-$i" --accelerators 8 --cores 128 --memory-mb 524288
done
for ((tries = 0; tries < 200; tries++)); do
	[ "$(JAYCOURSE_TOKEN=$operator "$bin/jaycourse" targets | grep -c alive || true)" -ge 9 ] && break
	sleep 0.1
done

say "Nine targets have announced themselves"
JAYCOURSE_TOKEN=$operator "$bin/jaycourse" targets

say "$organisation submits an overnight yield forecast: a gang of 2 members with 8 accelerators each"
job=$(JAYCOURSE_TOKEN=$token "$bin/jaycourse" submit --output json --class yield-forecast --members 2 \
	--accelerators 8 --cores 64 --memory-gb 256 --within rack --declared-s 2 --payload '{"run_ms":1500}' |
	sed -n 's/.*"id": *"\([0-9a-f]*\)".*/\1/p')
JAYCOURSE_TOKEN=$token "$bin/jaycourse" explain "$job"
JAYCOURSE_TOKEN=$token "$bin/jaycourse" wait "$job"

say "A burst of 400 net-angle checks through both entries, each with its own answer"
"$bin/jaycourse-bench" load --url "http://${entries[0]}/v1/services/harvest-planner/requests" \
	--url "http://${entries[1]}/v1/services/harvest-planner/requests" --token "$token" \
	--class net-angle-check --rate 400 --requests 400 --work-ms 2

say "A job over the organisation's quota is refused, and the refusal says so"
JAYCOURSE_TOKEN=$token "$bin/jaycourse" submit --class yield-forecast --members 32 --accelerators 8 \
	--cores 8 --memory-gb 8 --declared-s 60 || echo "(exit code $?)"

say "Fragmentation and history of the configuration"
JAYCOURSE_TOKEN=$operator "$bin/jaycourse" fragmentation
JAYCOURSE_TOKEN=$operator "$bin/jaycourse" config history

say "Shutting down"
started=("${pids[@]}")
stop_all
left=0
for pid in "${started[@]}"; do
	kill -0 "$pid" 2>/dev/null && left=$((left + 1))
done
echo "processes started: ${#started[@]}, left running: $left"
[ "$left" -eq 0 ]
