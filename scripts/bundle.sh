#!/bin/sh
# Compiles the gateway and bundles it into one file, which starts faster.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -b platform
mkdir -p target
node_modules/.bin/esbuild platform/dist/src/main.js --bundle --platform=node \
  --target=node20 --format=esm --minify-syntax --log-level=error \
  --banner:js="import {createRequire as irisdockCreateRequire} from 'node:module'; const require = irisdockCreateRequire(import.meta.url);" \
  --outfile=target/irisdock-gateway.mjs
