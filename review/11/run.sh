#!/bin/sh
# Shows that one entry of another writer among those of the runners ends every leader.
cd "$(dirname "$0")/../.." && exec python3 -S review/11/case.py review/11
