#!/usr/bin/env bash
# Builds what the scripts of the cases start: the deploy file's program, the project's stand-ins, and the stand-ins of the review.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/cedarwinchd
make -s -j8 programs
mkdir -p build/review
compile() { cc -O2 -g -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -D_GNU_SOURCE -o "build/review/$1" "$2" -lhttp_parser -ljansson -lpthread; }
compile lenient-server review/lenient_server.c
compile unreadable-relay review/2/unreadable_relay.c
