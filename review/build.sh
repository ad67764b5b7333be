#!/usr/bin/env bash
# Builds what the cases start beside the gateways. Their stand-ins are plain JavaScript for Node 20 under review/common
# and in each case's folder, so this only checks that Node reads them.
set -eu
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
