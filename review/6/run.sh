#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} ../../target/review-2/case-6 ../../target/bin/jaycourse-fleet "$folder"
code=$?
rm -rf "$folder"
[ $code -le 2 ] || code=2
exit $code
