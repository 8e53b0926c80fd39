#!/bin/sh
# The stand-ins of the cases are plain Node.js modules, so there is nothing to compile: this checks that each of them loads.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
