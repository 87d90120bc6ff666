#!/bin/bash
# Ten jobs that can never be done, gangs larger than the fleet, wait in a queue that needs advice.
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
gang='{"task_spec":"100","steps":[{"count":100,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":60000,"gang":true}]}'
# The pages' largest share of jobs that can never be done is 0.05, for 3 s.
for ((i = 0; i < 200; i++)); do
	(note "job $i: $(call POST "${front[$((i % 2))]}" /c/77e1a0c4d2b9$(printf %04x $i) "$(job 100)")") >/dev/null &
	if [ $((i % 20)) = 10 ] && [ "$TROUBLE" = 1 ]; then
		(note "gang $i: $(call POST "${front[$((i % 2))]}" /a/aae1a0c4d2b9$(printf %04x $i) "$gang")") >/dev/null &
	fi
	sleep 0.01
done
sleep 2
note "jobs accepted: $(grep -c ' job .*: 200' "$record"), gangs accepted: $(grep -c ' gang .*: 200' "$record")"
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
