#!/bin/sh
# The stand-ins of cases 4 to 8 (review/common-2) are plain modules of Node.js, which need no build. This only checks that
# they can be read, and that the build of the deploy file has left the program that they start.
cd "$(dirname "$0")/.." || exit 1
for file in review/common-2/*.mjs review/[45678]/*.mjs; do
  node --check "$file" || exit 1
done
[ -f target/reedtally-gateway.cjs ] || { echo 'the build of deploy/system.toml comes first' >&2; exit 1; }
