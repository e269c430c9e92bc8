#!/usr/bin/env bash
# Runs all tests. Tests named in KNOWN-RED.txt may fail: they are run apart
# and their outcome is printed.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
mapfile -t known < <(sed -n 's/^test: //p' KNOWN-RED.txt)
exclude=()
if ((${#known[@]})); then
  pattern=$(printf '|^%s$' "${known[@]}")
  exclude=(-E "${pattern:1}")
fi
for name in "${known[@]}"; do
  if ctest --test-dir "$build" -R "^$name\$" >/dev/null 2>&1; then
    echo "known red, passed this time: $name"
  else
    echo "known red, failed: $name"
  fi
done
exec ctest --test-dir "$build" --output-on-failure -j "$(nproc)" "${exclude[@]}"
