#!/bin/bash
# Builds the stand-ins of review/11 to 15 into target/review-3, with the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
packages="talloc tevent libzmq libmicrohttpd libcurl glib-2.0 jansson"
# The project's minion runs 8 tasks at most, whatever they take; this one has room for as many as are ordered.
sed 's/count >= ACCELERATORS/false/; s/^#define ENDS_MAX .*/#define ENDS_MAX 65536/' tests/fake_minion.c \
	>target/review-3/large_minion.c
for source in tests/fake_platform.c tests/fake_minion.c target/review-3/large_minion.c review/stand-3/*.c; do
	# shellcheck disable=SC2046,SC2086
	gcc -std=gnu11 -O2 -Isrc -Iplatform -Itests $(pkg-config --cflags $packages) "$source" \
		tests/lib_memkv.c src/{httpd,httpc,util,log,metrics,bodybudget,err,fields}.c \
		$(pkg-config --libs $packages) -lpthread -lm \
		-o "target/review-3/$(basename "$source" .c)"
done
