#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md works with: control bytes against
# hosts and against flows told by a change, on virtual time.
set -euo pipefail
cd "$(dirname "$0")/.."
runner=${BUILD_DIR:-build}/scenario/wasabiloom_scenario
file=$(mktemp)
trap 'rm -f "$file"' EXIT

write() { # HOSTS FLOWS STEP
  cat >"$file" <<SCENARIO
seed 1
zones a b c
hosts $1
link delay 1ms 3ms loss 0
service desk connections 14
flows desk $2 over 30s life 600s 3600s gap 5s
$3
run 170s
SCENARIO
}
measure() { "$runner" "$file" | sed -n "s/^$1=//p"; }

echo "hosts  bytes/s each (mean)  bytes/s (busiest, 10 s)"
for hosts in 6 9 18 36 72; do
  write "$hosts" 14000 "at 150s drain desk-3"
  awk -v n="$hosts" -v sum="$(measure control_bytes)" -v peak="$(measure control_bytes_per_second)" \
    'BEGIN { printf "%5d  %19.0f  %23.0f\n", n, sum / n / 175, peak }'
done
echo "flows on the drained target  bytes of the drain, each of 9 hosts"
for flows in 2000 4000 8000 14000; do
  write 9 "$flows" "at 150s drain desk-3"
  with=$(measure control_bytes)
  write 9 "$flows" ""
  awk -v f="$flows" -v a="$with" -v b="$(measure control_bytes)" \
    'BEGIN { printf "%27.0f  %36.0f\n", f / 14, (a - b) / 9 }'
done
