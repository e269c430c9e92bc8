#!/usr/bin/env bash
# Runs clang-tidy over every source file of the build.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
tools/sources.sh | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 3 clang-tidy --quiet -p "$build"
