#!/bin/sh
# The stand-ins of the scripts are plain modules that Node.js runs as they are. This only checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
