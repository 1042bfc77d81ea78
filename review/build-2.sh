#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. They are plain programs of
# Node, under review/lib-2, which need no compiler and no package: this checks
# that each of them can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[6-9]/run.mjs review/10/run.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
