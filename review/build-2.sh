#!/bin/bash
# Builds the stand-ins of review/6 to review/10 into target/review-2, after the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=gnu11 -O2 -D_GNU_SOURCE -Isrc -Itests"
libs="target/libjaycourse.a $(pkg-config --cflags --libs talloc tevent libmicrohttpd libcurl glib-2.0 jansson) -lpthread -lm"
build() {
	gcc $flags "$2" "${@:3}" -o "target/review-2/$1" $libs
}
build platform review/platform-2.c tests/lib_memkv.c
build minion tests/fake_minion.c
build advice review/advice-2.c
build burst review/burst-2.c
