#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start, after the build of the deploy file (deploy/system.toml).
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/cw-store target/cw-server target/cw-callers target/cw-verdict target/cw-link
"${CC:-cc}" -std=gnu11 -Wall -Wextra -Werror -D_GNU_SOURCE -O2 review/standins-2/faulty_server.c -o target/review-faulty-server
