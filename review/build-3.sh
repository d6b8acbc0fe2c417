#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/11 to review/15. They are plain modules of Node.js, which need no build;
# this checks that they can be parsed.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
