#!/bin/bash
# LOST: an accepted job is never finished after a configuration has removed its route.
. "$(dirname "$0")/../lib-3.sh"
start store target/review-3/fake_platform "$net.1:7000"
store=$net.1:7000
until_true 5 in_log store listening || cannot_run "store"
route() { echo '{"name":"'$1'","host":"h.example","prefix":"/'$1'/","service":"s","priority":1,"max_attempts":3,"stretch":3,"slo_ms":1000}'; }
configure() {
	call PUT "$store" /operator/op/config '{"version":'$1',"routes":['$2'],"services":[{"name":"s","rejects_overload":true}],"tenants":[{"name":"t","api_keys":["k1"],"guaranteed":{"gpu":8}}],"limits":{}}'
	note "configuration $1: $status"
}
configure 1 "$(route p),$(route q)"
for n in 1 2; do
	agent "agent$n" $((10 + n))
	minion "minion$n" $((10 + n)) r1
done
entry entry1 2
entry entry2 3
job='{"task_spec":"3000","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":3000},{"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":3000,"after":[0]}]}'
starts_of() { cat "$work"/minion*.log | grep -c "^start $1"; }
started() { [ "$(starts_of "$1")" -ge 1 ]; }
until_true 20 accepted 2 /p/00000000000000a1 "$job" || cannot_run "the job is not accepted"
note "job a1: 200"
until_true 20 started 00000000000000a1.0.0 || cannot_run "its first step does not run"
[ "$TROUBLE" = 1 ] && configure 4 "$(route q)"
until_true 45 started 00000000000000a1.0.1
sleep 4
at 3 GET /p/00000000000000a1
note "job a1: second step started $(starts_of 00000000000000a1.0.1) times; GET: $status $body"
started 00000000000000a1.0.1
