#!/bin/sh
# Builds the cases of review/6 to review/10 with their stand-ins into target/review-2, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for i in 6 7 8 9 10; do
	gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -D_GNU_SOURCE -Isrc -Ireview \
		"review/$i/case.c" review/fleet-2.c target/libjaycourse.a -o "target/review-2/case-$i" \
		$(pkg-config --cflags --libs talloc tevent libmicrohttpd libcurl glib-2.0 jansson) \
		-lpthread -lm
done
