#!/usr/bin/env bash
# Fails when the committed RPC code is not what the generator makes of the
# .proto file. Where the generator is not installed, it says so and passes.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$PWD/node_modules/.bin:$PATH"
if ! node_modules/.bin/buf --version >/dev/null 2>&1; then
  echo 'generated code: not checked, the generator is not installed'
  exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
node_modules/.bin/buf generate --output "$fresh" >/dev/null
diff -r "$fresh/packages/peer/src/gen" packages/peer/src/gen
echo 'generated code: up to date'
