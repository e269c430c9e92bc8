#!/usr/bin/env bash
# Formats every source file in place.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/sources.sh | xargs clang-format -i
