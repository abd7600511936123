#!/usr/bin/env bash
# Runs clang-tidy on every C source, several at a time; fails when any reports.
set -u
git ls-files '*.c' | grep -v -E '\.pb-c\.' |
    xargs -P "$(( $(nproc) / 2 + 1 ))" -n 1 sh -c \
        'clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE -Isrc -Iproto -Iplatform -Isim -Itests -Istandins/store 2>/dev/null' clang-tidy
