#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain scripts of the runtime: they are checked, nothing is compiled.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
