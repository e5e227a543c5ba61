#!/bin/sh
# Checks the stand-ins and scripts of the second review. They are plain JavaScript and need no build;
# the scripts start what the build of the deploy file has put under target/.
cd "$(dirname "$0")/.." || exit 2
for file in review/stand-2/*.mjs review/6/run.mjs review/7/run.mjs review/8/run.mjs review/9/run.mjs review/10/run.mjs; do
  node --check "$file" || exit 1
done
if [ ! -f target/instance.js ]; then
  echo 'target/instance.js is missing: run the build of deploy/system.toml first'
  exit 1
fi
echo 'the stand-ins of the second review are in order'
