#!/bin/sh
# Installs the Debian packages named as arguments that are not installed yet.
set -eu
missing=
for package in "$@"; do
	dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null | grep -qx installed ||
		missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
run=
[ "$(id -u)" -eq 0 ] || run=sudo
$run apt-get update -qq
# shellcheck disable=SC2086 # one word per package
DEBIAN_FRONTEND=noninteractive $run apt-get install -y -qq $missing >/dev/null
