#!/bin/sh
# Runs clang-tidy over all sources of the compile database of build directory $1, with $2 jobs.
set -eu
# One file per process: given several files, clang-tidy 14 wrongly reports initialised va_list arguments.
build=$1
jobs=$2
git ls-files 'src/*.c' 'platform/*.c' 'tests/*.c' 'bench/*.c' | xargs -P "$jobs" -n 1 clang-tidy --quiet -p "$build"
