#!/bin/sh
# The stand-ins of the cases are plain JavaScript of Node.js without packages, so nothing has to be built. This checks
# that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
