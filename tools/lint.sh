#!/bin/sh
# Runs clang-tidy over all sources of the compile database of build directory $1, with $2 jobs.
set -eu
build=$1
jobs=$2
git ls-files 'src/*.c' 'tests/*.c' | xargs -P "$jobs" -n 4 clang-tidy --quiet -p "$build"
