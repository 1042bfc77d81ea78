#!/bin/sh
# Installs when the lock file is newer than what is installed, then builds,
# and bundles the gateway as it is deployed.
set -eu
cd "$(dirname "$0")/.."
if [ ! node_modules/.package-lock.json -nt package-lock.json ]; then
  npm ci --no-audit --no-fund --loglevel=error
  touch node_modules/.package-lock.json
fi
node_modules/.bin/tsc -b
sh scripts/bundle.sh
