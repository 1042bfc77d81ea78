#!/bin/sh
# Bundles the gateway into one file, which starts faster than many. It reads the
# sources as they are, so that all that it makes is under target/; types are
# checked by the build that the tests use.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
# A build that fails leaves no program of earlier sources to be started.
trap 'test $? -eq 0 || rm -f target/irisdock-*.mjs' EXIT
node_modules/.bin/esbuild platform/src/main.ts --bundle --platform=node \
  --target=node20 --format=esm --minify-syntax --log-level=error \
  --alias:@irisdock/decisions=./packages/decisions/src/index.ts \
  --alias:@irisdock/gateway=./packages/gateway/src/index.ts \
  --alias:@irisdock/resources=./packages/resources/src/index.ts \
  --alias:@irisdock/kernel=./packages/kernel/src/index.ts \
  --banner:js="import {createRequire as irisdockCreateRequire} from 'node:module'; const require = irisdockCreateRequire(import.meta.url);" \
  --outfile=target/irisdock-gateway.mjs
# What is started: it takes signals before the bundle is loaded.
node_modules/.bin/esbuild platform/src/start.ts --target=node20 --format=esm \
  --log-level=error --outfile=target/irisdock-start.mjs
