#!/bin/sh
# Builds what the scripts in review/11 to review/15 start besides the entry instances:
# Python sources of the standard library only, so they are only compiled as a check.
cd "$(dirname "$0")/.." || exit 2
for source in review/standin-3/*.py review/1[1-5]/*.py; do
    [ -e "$source" ] || continue
    python3 -S -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source" || exit 1
done
