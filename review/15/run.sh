#!/bin/bash
# LOST: a task that fills never runs again after the loss of its minion, since serving tasks run on all others.
. "$(dirname "$0")/../lib-3.sh"
start store target/review-3/fake_platform "$net.1:7000"
store=$net.1:7000
until_true 5 in_log store listening || cannot_run "store"
call PUT "$store" /operator/op/config '{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/p/","service":"s","priority":1,"max_attempts":3,"stretch":3,"slo_ms":1000}],"services":[{"name":"s","rejects_overload":true}],"tenants":[{"name":"t","api_keys":["k1"],"guaranteed":{"gpu":8}}],"limits":{}}'
for ((n = 1; n <= 7; n++)); do
	agent "agent$n" $((10 + n))
	minion "minion$n" $((10 + n)) r1
done
entry entry1 2
entry entry2 3
serves='{"task_spec":"600000","steps":[{"count":6,"cpu":8000,"mem_mb":8000,"gpu":1,"estimate_ms":600000,"long_running":true,"target_ms":200,"anti_affinity":1,"image":"a"}]}'
fills='{"task_spec":"8000","steps":[{"count":1,"cpu":4000,"mem_mb":1000,"estimate_ms":8000,"fills":true,"image":"b"}]}'
starts_of() { cat "$work"/minion*.log | grep -c "^start 00000000000000$1"; }
started() { [ "$(starts_of "$1")" -ge "$2" ]; }
until_true 20 accepted 2 /p/00000000000000a1 "$serves" || cannot_run "the job that serves is not accepted"
until_true 20 started a1 6 || cannot_run "the job that serves does not run"
sleep 1
until_true 20 accepted 3 /p/00000000000000f1 "$fills" || cannot_run "the job that fills is not accepted"
until_true 20 started f1 1 || cannot_run "the job that fills does not run"
host=$(grep -l '^start 00000000000000f1' "$work"/minion*.log)
host=$(basename "$host" .log)
note "the task that fills runs on $host; 6 serving tasks of 8 of 128 cores, 8 of 512 GB and 1 of 8 GPUs on the others"
sleep 2
if [ "$TROUBLE" = 1 ]; then
	note "$host is lost for good"
	kill -KILL "${pid[$host]}"
	until_true 45 started f1 2
fi
until_true 20 has_state 2 /p/00000000000000f1 completed
note "job f1: started $(starts_of f1) times, $status $body"
[ "$body" = '{"state":"completed"}' ]
