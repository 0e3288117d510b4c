#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python and need no compiler, so this only
# checks that each of them can be compiled. The router is built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
