#!/bin/sh
# Builds what the scripts start beside the program of the deploy file. The
# stand-ins are plain modules, so that only their syntax is checked; the build of
# the deploy file has made the program under target/.
set -eu
cd "$(dirname "$0")/.."
test -f target/irisdock-start.mjs
test -f target/irisdock-gateway.mjs
for file in review/lib/*.mjs review/*/play.mjs; do
  node --check "$file"
done
