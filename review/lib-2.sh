# Starts a small deployment on loopback addresses for the scripts of review/6 to review/10: the
# store, two entries, and agents with their workers. Sourced by run.sh with $folder set to its folder.
# A script exits with 1 if the rule was broken, 0 if it held and 2 if it couldn't run.
TROUBLE=${TROUBLE:-1}
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
work=$(mktemp -d)
record=$folder/record.txt
net=127.$((RANDOM % 100 + 100)).$((RANDOM % 250 + 1))
declare -A pids
workers=3
advice=
: >"$record"

finish() {
	kill -KILL "${pids[@]}" 2>/dev/null
	sleep 0.2
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

note() { echo "$(date +%T.%3N) $*" | tee -a "$record"; }
give_up() { note "could not run: $*"; exit 2; }

# run NAME PROGRAM ARGUMENTS...
run() {
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pids[$name]=$!
	disown $!
}

# call METHOD ADDRESS PATH [BODY [SECONDS]]: prints the status, 0 without an answer, and the body.
# BODY may be @FILE.
call() {
	local body=$work/body.$BASHPID
	if [ "${4:0:1}" = @ ]; then body=${4:1}; else printf %s "${4:-}" >"$body"; fi
	timeout "${5:-3}" bash -c '
		exec 3<>"/dev/tcp/${2%:*}/${2#*:}" || exit
		printf "%s %s HTTP/1.1\r\nHost: q.example\r\nAuthorization: Bearer key-a\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" \
			"$1" "$3" "$(stat -c %s "$4")" >&3
		cat "$4" >&3
		read -r _ status _ <&3
		echo "$status $(sed "1,/^\r*$/d" <&3)"' - "$1" "$2" "$3" "$body" 2>/dev/null || echo 0
}

# tell METHOD ADDRESS PATH [BODY]: the same, recorded; the answer is left in $answer.
tell() {
	answer=$(call "$@")
	note "$1 $2$3 ${4:0:150} -> $answer"
}

route() { # NAME PREFIX PRIORITY [FIELDS]
	printf '{"name":"%s","host":"q.example","prefix":"%s","kind":"non_idempotent","timeout_ms":3000,"slo_ms":1000,"priority":%d,"service":"svc","max_attempts":3,"stretch":3.0,"public":false%s}' "$1" "$2" "$3" "${4:+,$4}"
}

# configure VERSION ROUTES: writes the configuration as the operator does.
configure() {
	tell PUT "$store" /operator/op/config "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"svc\",\"health_path\":\"/healthz\",\"max_connections\":64,\"rejects_overload\":true,\"standby\":false}],\"limits\":{\"max_body_bytes\":262144},\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"],\"guaranteed\":{\"gpu\":0}}]}"
	[ "${answer%% *}" = 200 ] || give_up "the store takes no configuration"
}

start_entry() { # NUMBER
	echo "{\"node\":\"edge-$1\",\"message_address\":\"$net.1$1:4301\",\"metrics_address\":\"$net.1$1:4302\",\"store_address\":\"$store\",\"callers_address\":\"$net.1$1:4303\",\"ready_address\":\"$net.1$1:4304\",\"grace_s\":6,\"keep_ended_s\":120,\"stop_ms\":200,\"away_factor\":3,\"unavailable_after_ms\":4500,\"processor_share\":0.25,\"processors\":1${advice:+,\"advice_address\":\"$advice\"}}" >"$work/edge-$1.json"
	run "edge-$1" target/bin/jaycourse-fleet entry --config "$work/edge-$1.json"
	front[$1]=$net.1$1:4303
}

start_worker() { # NUMBER
	echo "{\"node\":\"side-$1\",\"message_address\":\"$net.2$1:4301\",\"metrics_address\":\"$net.2$1:4302\",\"store_address\":\"$store\",\"control_address\":\"$net.2$1:4305\",\"worker_address\":\"$net.2$1:4306\",\"service\":\"svc\",\"grace_s\":6}" >"$work/side-$1.json"
	run "side-$1" target/bin/jaycourse-fleet agent --config "$work/side-$1.json"
	run "worker-$1" target/review-2/minion "i-$1" svc "r$(($1 / 3))" "$net.2$1:4305" "$net.2$1:4306"
}

# deploy ROUTES: starts everything and waits until both entries are ready. With $advice set, the entries
# use the advice service there.
deploy() {
	local i tries
	[ -x target/bin/jaycourse-fleet ] && [ -x target/review-2/minion ] || give_up "build first"
	store=$net.1:4300
	run store target/review-2/platform "$store"
	sleep 0.5
	configure 1 "$1"
	for i in 0 1; do start_entry $i; done
	for ((i = 0; i < workers; i++)); do start_worker $i; done
	for ((tries = 0; tries < 50; tries++)); do
		sleep 0.2
		[ "$(call GET "$net.10:4304" /v1/ready)$(call GET "$net.11:4304" /v1/ready)" = "200 200 " ] &&
			grep -q task_start "$work"/edge-*.log && break
		# The first job shows that agents and workers are known.
		[ "$tries" -eq 4 ] && tell POST "${front[0]}" /a/00000000000000aa "$(job 100)"
	done
	[ "$tries" -lt 50 ] || give_up "the deployment does not start"
	sleep 1
}

# job TASK_SPEC [FIELDS]: a job of one task that needs one accelerator; FIELDS go before "steps".
job() {
	echo "{\"task_spec\":\"$1\",${2:-}\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,\"estimate_ms\":200}]}"
}

# chain TASK_SPEC STEPS [FIELDS]: a job of steps of one task each, one after the other.
chain() {
	local steps i
	for ((i = 0; i < $2; i++)); do
		steps+=${steps:+,}"{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,\"estimate_ms\":200$([ $i -eq 0 ] || echo ",\"after\":[$((i - 1))]")}"
	done
	echo "{\"task_spec\":\"$1\",${3:-}\"steps\":[$steps]}"
}

# ran JOB WORD: number of runs of a job that the workers have begun (start) or ended as done (done).
ran() {
	if [ "$2" = start ]; then
		cat "$work"/worker-*.log | grep -c "^start $1\."
	else
		cat "$work"/worker-*.log | grep -c "^end $1\..* done "
	fi
}

# record_runs JOB...: what the workers did of these jobs.
record_runs() {
	local id
	for id in "$@"; do
		grep -hE "^(start|end) $id\." "$work"/worker-*.log | sed 's/^/worker: /' | head -n 60 >>"$record"
	done
}
declare -a front
