#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if one of them is missing. `dependencies.sh check` also installs those for
# linting, fuzzing and model checking.
set -eu
packages="gcc make pkg-config libuv1-dev libhttp-parser-dev libargtable2-dev libprotobuf-c-dev libyaml-dev
libjansson-dev libxxhash-dev nettle-dev uthash-dev check curl jq"
[ "${1:-}" = check ] && packages="$packages clang clang-format clang-tidy libclang-rt-14-dev spin git"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
privileged=""
[ "$(id -u)" = 0 ] || privileged=sudo
$privileged apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $privileged apt-get install -y -qq $missing >/dev/null
