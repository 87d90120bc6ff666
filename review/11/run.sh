#!/bin/bash
# TWICE: two processes lead side by side in the same term, and each starts the same work.
. "$(dirname "$0")/../lib-3.sh"
start store target/review-3/store "$net.1:7000"
store=$net.1:7000
until_true 5 in_log store listening || cannot_run "store"
call PUT "$store" /operator/op/config '{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/p/","service":"s","priority":1,"max_attempts":3,"stretch":3,"slo_ms":1000}],"services":[{"name":"s","rejects_overload":true}],"tenants":[{"name":"t","api_keys":["k1"],"guaranteed":{"gpu":8}}],"limits":{}}'
[ "$TROUBLE" = 1 ] && call PUT "$store" /test/arm ''

add_minion() {
	agent "agent$1" $((10 + $1))
	minion "minion$1" $((10 + $1)) "r$(($1 / 6))"
}

# submit FIRST LAST MS: jobs of one task
submit() {
	local job='{"task_spec":"'$3'","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":'$3'}]}'
	for ((i = $1; i <= $2; i++)); do
		until_true 20 accepted $((2 + i % 2)) "/p/$(printf %016x "$i")" "$job" || cannot_run "job $i is not accepted"
		note "job $i: 200"
	done
}

for ((n = 1; n <= 32; n++)); do add_minion "$n"; done
entry entry1 2
entry entry2 3
submit 1 12 300
sleep 4
for ((n = 33; n <= 41; n++)); do
	add_minion "$n"
	sleep 0.2
done
for ((n = 33; n <= 41; n++)); do
	until_true 10 in_log "agent$n" worker_found || cannot_run "agent$n"
done
sleep 2
submit 13 24 1500
sleep 12
for log in "$work"/minion*.log; do
	awk '$1 == "start" { begin[$2 " " $3] = $4 }
		$1 == "end" { print $2, begin[$2 " " $3], $5, $4, $3, FILENAME }' "$log"
done | sort -k1,1 -k2,2n | awk '{ sub(/.*\//, "", $6); print }' >"$work/runs.log"
twice=$(awk '$1 == task && $2 < end { n++ } { task = $1; end = $3 } END { print n + 0 }' "$work/runs.log")
note "tasks with two runs at the same time: $twice"
[ "$twice" = 0 ]
