#!/bin/bash
# LOST: one urgent job beside a job of many small tasks, and no entry answers any more.
. "$(dirname "$0")/../lib-3.sh"
TASKS=9000
start store target/review-3/fake_platform "$net.1:7000"
store=$net.1:7000
until_true 5 in_log store listening || cannot_run "store"
call PUT "$store" /operator/op/config '{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/p/","service":"s","priority":2,"max_attempts":3,"stretch":3,"slo_ms":1000},{"name":"u","host":"h.example","prefix":"/u/","service":"s","priority":0,"max_attempts":3,"stretch":3,"slo_ms":1000}],"services":[{"name":"s","rejects_overload":true}],"tenants":[{"name":"t","api_keys":["k1"],"guaranteed":{"gpu":24}}],"limits":{}}'
for n in 1 2 3; do
	agent "agent$n" $((10 + n))
	start "minion$n" target/review-3/large_minion "i-minion$n" s r1 "$net.$((10 + n)):7004" "$net.$((10 + n)):7005"
done
entry entry1 2
entry entry2 3
small='{"task_spec":"600000","steps":[{"count":'$TASKS',"cpu":40,"mem_mb":10,"estimate_ms":600000}]}'
urgent='{"task_spec":"2000","steps":[{"count":3,"cpu":52000,"mem_mb":1000,"gpu":8,"gang":true,"estimate_ms":2000}]}'
starts_of() { cat "$work"/minion*.log | grep -c "^start 00000000000000$1"; }
started() { [ "$(starts_of "$1")" -ge "$2" ]; }
until_true 20 accepted 2 /p/00000000000000a1 "$small" || cannot_run "the job of small tasks is not accepted"
until_true 40 started a1 $TASKS || cannot_run "only $(starts_of a1) small tasks run"
note "$TASKS small tasks run"
sleep 3
if [ "$TROUBLE" = 1 ]; then
	until_true 20 accepted 3 /u/00000000000000f1 "$urgent" || cannot_run "the urgent job is not accepted"
	note "the urgent job: 200"
fi
sleep 14 # finish_s
answers=0
for entry in 2 3 2 3; do
	at $entry GET /p/00000000000000a1
	note "GET of the job of small tasks at entry$((entry - 1)): $status $body"
	[ "$status" = 200 ] && answers=$((answers + 1))
done
note "the urgent job was started $(starts_of f1) times"
[ "$answers" -gt 0 ]
