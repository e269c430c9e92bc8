#!/usr/bin/env bash
# Fails when a source file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/sources.sh | xargs clang-format --dry-run --Werror
