#!/bin/sh
# Builds the stand-ins that the scripts of 11, 12 and 14 start. They are plain JavaScript without dependencies in
# `stand-3`, so there is nothing to compile; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in stand-3/store.mjs stand-3/executor.mjs stand-3/site.mjs 11/case.mjs 12/case.mjs 14/case.mjs; do
  node --check "$file"
done
