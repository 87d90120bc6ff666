# Sourced by review/11 to 15: processes of a small deployment on loopback, with the settings of deploy/*.json.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
here=$PWD/review/${0##*review/}
here=${here%/run.sh}
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
record=$here/record.txt
: >"$record"
declare -A pid
net=127.$((RANDOM % 100 + 100)).$((RANDOM % 250 + 1))

note() { echo "$(date +%T.%3N) $*" | tee -a "$record"; }

cleanup() {
	for name in "${!pid[@]}"; do
		kill -CONT "${pid[$name]}" 2>/dev/null
		kill -KILL "${pid[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	for log in "$work"/*.log; do
		echo "--- ${log##*/}"
		cut -c1-300 "$log" | awk 'NR <= 150 { print } { line[NR % 150] = $0 } END { for (i = NR < 300 ? 151 : NR - 149; i <= NR; i++) print line[i % 150] }'
	done >>"$record"
	rm -rf "$work"
}
trap cleanup EXIT

# start NAME PROGRAM ARGUMENTS...
start() {
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pid[$name]=$!
	note "started $name"
}

# entry NAME NUMBER, agent NAME NUMBER, minion NAME NUMBER RACK: the processes at $net.NUMBER
entry() {
	cat >"$work/$1.json" <<-EOF
		{"message_address": "$net.$2:7001", "metrics_address": "$net.$2:9464", "store_address": "$store",
		"callers_address": "$net.$2:7002", "ready_address": "$net.$2:7003", "grace_s": 6, "keep_ended_s": 120,
		"stop_ms": 200, "away_factor": 3, "unavailable_after_ms": 4500, "memory_mb": 260,
		"max_descriptors": 4100, "processor_share": 0.25, "processors": 1, "node": "$1"}
	EOF
	start "$1" target/bin/jaycourse-fleet entry --config "$work/$1.json"
}

agent() {
	cat >"$work/$1.json" <<-EOF
		{"message_address": "$net.$2:7001", "metrics_address": "$net.$2:9464", "store_address": "$store",
		"control_address": "$net.$2:7004", "worker_address": "$net.$2:7005", "service": "s", "grace_s": 6,
		"memory_mb": 128, "max_descriptors": 4096, "node": "$1"}
	EOF
	start "$1" target/bin/jaycourse-fleet agent --config "$work/$1.json"
}

minion() { start "$1" target/review-3/fake_minion "i-$1" s "$3" "$net.$2:7004" "$net.$2:7005"; }

# call METHOD IP:PORT PATH [BODY]: sets status and body; status is 000 without an answer
call() {
	local address=$2 text
	text=$(
		exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || exit
		printf '%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer '"${KEY:-k1}"'\r\nDeadline-Ms: 2500\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
			"$1" "$3" "${#4}" "$4" >&3
		timeout 3 cat <&3
		echo .
	) 2>/dev/null
	text=${text%.}
	status=${text:9:3}
	status=${status:-000}
	body=${text##*$'\r\n\r\n'}
}

# until_true SECONDS COMMAND...: false if the command has not succeeded by then
until_true() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.05
	done
}

# at NUMBER METHOD PATH [BODY]: a call of a client at an entry, as in call()
at() { call "$2" "$net.$1:7002" "$3" "${4:-}"; }
accepted() { at "$1" POST "$2" "$3" && [ "$status" = 200 ]; }
has_state() { at "$1" GET "$2" && [ "$body" = "{\"state\":\"$3\"}" ]; }
in_log() { grep -q "$2" "$work/$1.log"; }
cannot_run() {
	note "cannot run: $*"
	exit 2
}
