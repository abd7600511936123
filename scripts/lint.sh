#!/usr/bin/env bash
# Runs clang-tidy on every C source, several at a time; fails when any reports.
set -u
git ls-files '*.c' | grep -v -E '\.pb-c\.' |
    xargs -P "$(( $(nproc) / 2 + 1 ))" -n 1 sh -c \
        'clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE -Iinclude -Iproto -Isrc -Iplatform -Itests/router -Isim/lease 2>/dev/null' clang-tidy
