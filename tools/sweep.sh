#!/usr/bin/env bash
# Runs every scenario with many seeds and prints those that broke a promise.
# Usage: tools/sweep.sh FIRST LAST
set -uo pipefail
cd "$(dirname "$0")/.."
runner=${BUILD_DIR:-build}/scenario/wasabiloom_scenario
run_one() { # FILE SEED
  local found
  found=$("$1" "$2" --seed "$3" | grep -E "^violation " | head -1)
  [[ -z $found ]] || echo "$(basename "$2") seed $3: $found"
}
export -f run_one
for file in scenario/files/*.scn; do
  for ((seed = $1; seed <= $2; seed++)); do echo "$file $seed"; done
done | xargs -P "$(nproc)" -L 1 bash -c 'run_one "$0" "$1" "$2"' "$runner"
echo "swept seeds $1 to $2 over $(ls scenario/files/*.scn | wc -l) scenarios"
