#!/bin/bash
# A route is removed while a job of it is at work; the rest of the job must still run.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../lib-2.sh"
id=5c0e7a21d94b36f8
deploy "$(route queue-a /a/ 1),$(route queue-b /b/ 1)"
tell POST "${front[0]}" /a/$id "$(chain 1500 3)"
[ "${answer%% *}" = 200 ] || give_up "the job was not accepted"
sleep 0.7
if [ "$TROUBLE" = 1 ]; then
	configure 2 "$(route queue-b /b/ 1)"
else
	configure 2 "$(route queue-a /a/ 1),$(route queue-b /b/ 1)"
fi
# The first step ends 1.5 s after its start; 14 s (finish_s) are far more than the other two need.
for i in 1 2 3 4 5; do
	sleep 4
	note "tasks begun: $(ran $id start), done: $(ran $id done)"
done
tell GET "${front[0]}" /a/$id
tell POST "${front[1]}" /b/00000000000000bb "$(job 100)"
sleep 2
note "a job of the other route: begun $(ran 00000000000000bb start), done $(ran 00000000000000bb done)"
record_runs $id 00000000000000bb
[ "$(ran 00000000000000bb done)" = 1 ] || give_up "the workers don't run other jobs"
[ "$(ran $id done)" = 3 ] && { note "held: all 3 tasks ran"; exit 0; }
note "broken: $(ran $id done) of 3 tasks ran, with idle workers"
exit 1
