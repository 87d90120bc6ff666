#!/bin/sh
# Builds the stand-ins of the cases into target/review, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
deps="talloc tevent libzmq libmicrohttpd libcurl glib-2.0 jansson"
flags="-std=gnu11 -O2 -Wall -D_GNU_SOURCE -Isrc -Iplatform -Itests -Ireview $(pkg-config --cflags $deps)"
libs="target/libplatform.a target/libjaycourse.a $(pkg-config --libs $deps) -lmsgpackc -lcrypt -lpthread -lm"
[ -n "$(ls /usr/lib/*/libmsgpackc.so /usr/lib/libmsgpackc.so 2>/dev/null)" ] ||
	libs=$(echo "$libs" | sed s/-lmsgpackc/-lmsgpack-c/)
cc $flags -o target/review/fake_platform tests/fake_platform.c tests/lib_memkv.c $libs
for case in review/*/case.c; do
	number=$(basename "$(dirname "$case")")
	cc $flags -o "target/review/case-$number" "$case" review/world.c $libs
done
