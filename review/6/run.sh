#!/bin/bash
# A job that repeats each second was due first a day ago, so all its occurrences are due at once.
# Another job, accepted before, must still get its turns on workers that are idle.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../lib-2.sh"
first=5c0e7a21d94b36f8
repeated=77e1a0c4d2b95f36
repeats=$([ "$TROUBLE" = 1 ] && echo 86400 || echo 24)
deploy "$(route queue-a /a/ 0),$(route queue-b /b/ 2)"
tell POST "${front[0]}" /a/$first "$(chain 500 30)"
[ "${answer%% *}" = 200 ] || give_up "the first job was not accepted"
sleep 2
now=$(date +%s%3N)
tell POST "${front[0]}" /b/$repeated \
	"$(job 50 "\"repeat_count\":$repeats,\"start_at_ms\":$((now - repeats * 1000)),\"interval_ms\":1000,")"
[ "${answer%% *}" = 200 ] || give_up "the repeated job was not accepted"
for ((i = 0; i < 6; i++)); do
	sleep 3
	note "begun: $(ran $first start) of 30 tasks, $(ran $repeated start) occurrences;" \
		"state by edge-0: $(call GET "${front[0]}" /a/$first), by edge-1: $(call GET "${front[1]}" /a/$first)"
done
before=$(ran $repeated start)
sleep 10
begun=$(($(ran $repeated start) - before))
note "tasks done: $(ran $first done) of 30; occurrences begun in the last 10 s: $begun"
record_runs $first $repeated
grep -hE 'leader_(gained|lost|suspended)' "$work"/edge-*.log >>"$record"
[ "$(ran $first done)" = 30 ] && { note "held: all tasks of the first job ran"; exit 0; }
# 24 accelerators run 50 ms tasks: 240 a second would be half of them.
[ $begun -lt 2400 ] || give_up "the workers were busy"
note "broken: the first job stands still beside idle workers"
exit 1
