#!/bin/bash
# Nine jobs that can never be done, gangs larger than the fleet, wait in a queue that needs advice.
# Jobs of another such queue must still start, since all workers are idle.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../lib-2.sh"
workers=11
advice=$net.2:4310
run advice target/review-2/advice $advice 100 30 3000
needs='"advice":{"decision_ms":100,"per_worker_ms":30,"valid_ms":3000}'
deploy "$(route queue-a /a/ 0 "$needs"),$(route queue-b /b/ 1 "$needs"),$(route queue-c /c/ 2)"
tell POST "${front[0]}" /b/5c0e7a21d94b36f0 "$(job 100)"
sleep 2
[ "$(ran 5c0e7a21d94b36f0 done)" = 1 ] || give_up "a job with advice does not run"
echo '{"task_spec":"100","steps":[{"count":100,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":60000,"gang":true}]}' >"$work/gang"
job 100 >"$work/job"
# The site file's largest share of jobs that can never be done is 0.05, for 3 s.
target/review-2/burst "$work/job" 180 /c/77e1a0c4d2b9 1 "${front[@]}" >>"$record"
[ "$TROUBLE" = 0 ] || target/review-2/burst "$work/gang" 9 /a/aae1a0c4d2b9 1 "${front[@]}" >"$work/gangs"
sleep 2
note "jobs accepted: $(grep -c ' job [0-9]* 200$' "$record"), gangs accepted: $(grep -c ' 200$' "$work/gangs")"
for i in 1 2 3 4; do
	tell POST "${front[$((i % 2))]}" /b/5c0e7a21d94b36f$i "$(job 100)"
	[ "${answer%% *}" = 200 ] || give_up "the job was not accepted"
done
for ((i = 0; i < 6; i++)); do
	sleep 4
	note "of the four jobs begun: $(ran '5c0e7a21d94b36f[1-4]' start), of the others: $(ran 77e1a0c4d2b9.... start)," \
		"calls for advice: $(wc -l <"$work/advice.log")"
done
record_runs '5c0e7a21d94b36f[0-4]'
tail -n 40 "$work/advice.log" | sed 's/^/advice service: /' >>"$record"
[ "$(ran '5c0e7a21d94b36f[1-4]' done)" = 4 ] && { note "held: the four jobs ran"; exit 0; }
note "broken: 24 s after their acceptance $(ran '5c0e7a21d94b36f[1-4]' done) of four jobs ran, with all workers idle"
exit 1
