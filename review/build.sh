#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without dependencies: there is nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
