#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python without libraries, so
# this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standin [1-5]
