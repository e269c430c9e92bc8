#!/usr/bin/env bash
# Drives real processes on loopback: a host learns a bundle, refuses bad ones,
# answers operators, shows metrics and stops gracefully. Waits for conditions,
# never for time. Argument: build folder.
set -uo pipefail
build=$1
work=$(mktemp -d)
source "$(dirname "$0")/support/processes.sh"
cli=$build/apps/wasabiloom
host=127.77.0.1
control=$host:6084
status_has() { "$cli" status "$control" | grep -q "$1"; }
logged() { grep -q "$1" "$work/host.log"; }

bundle() { # VERSION
  cat <<JSON
{ "version": $1, "zones": [ { "name": "a" } ], "services": [
  { "name": "desk", "address": "127.77.9.1:443", "targets": [
    { "name": "desk-1", "zone": "a", "address": "127.77.1.1:6080" },
    { "name": "desk-2", "zone": "a", "address": "127.77.1.2:6080" } ] } ] }
JSON
}
publish() { # VERSION KEY
  bundle "$1" >"$work/bundle.json"
  "$cli" bundle sign "$work/bundle.json" --key "$work/$2.secret" --out "$work/signed" || fail "cannot sign"
  mv "$work/signed" "$work/values/bundle"
}

mkdir "$work/values"
"$cli" keys new "$work/operator" >/dev/null || fail "no keys"
"$cli" keys new "$work/stranger" >/dev/null || fail "no keys"
echo "host only a $host live" >"$work/hosts"
cat >"$work/host.json" <<JSON
{ "name": "only", "zone": "a", "address": "$host",
  "config_service": "127.77.5.1:7000", "host_list": "127.77.5.2:7000",
  "trusted_keys": [ "$(cat "$work/operator.public")" ],
  "log": { "level": "info", "file": "$work/host.log" } }
JSON

# The daemon starts before the platform does, and waits for it.
start daemon "$build/apps/wasabiloomd" --settings "$work/host.json"
await "the platform failing" logged "event=platform_failing"
publish 2 operator
start config "$build/standins/standin_config_service" --listen 127.77.5.1:7000 --folder "$work/values"
start list "$build/standins/standin_host_list" --listen 127.77.5.2:7000 --file "$work/hosts"
await "a ready host" status_has "ready=1 bundle=2"

# Bad bundles are refused with their code and change nothing.
publish 3 stranger
await "a refused signature" logged "event=bundle_refused code=213"
publish 1 operator
await "a refused version" logged "event=bundle_refused code=214"
echo garbage >"$work/values/bundle"
await "a refused text" logged "event=bundle_refused code=212"
status_has "ready=1 bundle=2" || fail "a bad bundle changed the one in force"
publish 4 operator
await "the next good bundle" status_has "ready=1 bundle=4"

# Bad packets are counted and logged, at most one line a second for each code.
for _ in $(seq 200); do echo -n junk >/dev/udp/$host/6080; done
for _ in $(seq 200); do echo -n junk >/dev/udp/$host/6082; done
await "refused packets" logged "event=input_refused code=101"
await "refused peer messages" logged "event=input_refused code=501"
(($(grep -c "event=input_refused code=101" "$work/host.log") <= 5)) || fail "the log is flooded"

# Operators get answers, and clear errors.
"$cli" explain --host "$control" --caller 10.0.0.1:1 --service 127.77.9.1:443 | grep -q "target=desk-" || fail "no explanation"
answer=$("$cli" explain --host "$control" --caller 10.0.0.1:1 --service 127.77.9.9:443 2>&1)
[[ $answer == *ValueNotFound* ]] || fail "no clear error: $answer"
metrics() {
  exec 3<>"/dev/tcp/$host/6085" || return 1
  printf 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
  cat <&3
}
await "metrics of refused packets" eval 'metrics | grep -a -q "wasabiloom_refused_total{code=\"101\""'

# The platform goes away: the host serves on. A graceful stop ends with 0.
kill "${pids[config]}" "${pids[list]}"
status_has "ready=1 bundle=4" || fail "the host gave up without the platform"
stop daemon
logged "event=stopped" || fail "no last line"
echo "processes: all steps held"
