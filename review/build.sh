#!/bin/sh
# The stand-ins are plain JavaScript without dependencies: there is nothing to compile, only to check.
set -e
cd "$(dirname "$0")"
for file in *.mjs */run.mjs; do
  node --check "$file"
done
test -f ../target/instance.js || (cd .. && node tools/bundle-instance.mjs)
