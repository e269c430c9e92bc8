#!/usr/bin/env bash
# Starts a small site on loopback and runs the main job through it: feeds and
# requests while a backend server drains, a bundle rolls out and an entry host
# stops. Prints a summary; exits non-zero when a promise broke.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}
work=$(mktemp -d)
feeds=${DEMO_FEEDS:-300}
declare -A pids

cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap cleanup EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pids[$name]=$!
}

stop() { # NAME...: asks each to stop, then waits for all
  local name
  for name in "$@"; do kill "${pids[$name]}" 2>/dev/null; done
  for name in "$@"; do
    wait "${pids[$name]}" 2>/dev/null
    unset "pids[$name]"
  done
}

fail() {
  echo "demo: $*" >&2
  grep -h "event=bundle_refused\|event=platform_failing" "$work"/*.log "$work"/*.out 2>/dev/null | head -5 >&2
  exit 1
}

until_true() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    ((SECONDS < end)) || return 1
    sleep 0.1
  done
}

status_of() { "$bin/apps/wasabiloom" status "$1:6084" 2>/dev/null; }
host_has() { status_of "$1" | grep -q "$2"; }
all_hosts_have() {
  local address
  for address in "${live_hosts[@]}"; do host_has "$address" "$1" || return 1; done
}
no_flow_moves() {
  local address
  for address in "${live_hosts[@]}"; do
    status_of "$address" | grep "^service=" | grep -qv "moving=0" && return 1
  done
  return 0
}

zones=(borgarnes akranes stykkisholmur)
feed_service=127.40.0.1:443
photo_service=127.40.0.2:9000
reserve_service=127.40.0.3:9000

# --- what the operators write -------------------------------------------------
write_bundle() { # VERSION DRAINING-TARGET
  local kind n zone state separator
  {
    echo "// Demonstration site: three zones, three services."
    echo "{ \"version\": $1,"
    echo "  \"zones\": [ {\"name\":\"${zones[0]}\"}, {\"name\":\"${zones[1]}\"}, {\"name\":\"${zones[2]}\"} ],"
    echo "  \"services\": ["
    write_service keeper-desk "$feed_service" connections 31 6080 6 "$2"; echo "  ,"
    write_service scan-vault "$photo_service" requests 32 9100 4 "$2"; echo "  ,"
    write_service reserve-svc "$reserve_service" requests 33 9100 6 "$2"
    echo "  ] }"
  } >"$work/bundle-$1.json"
}
write_service() { # NAME ADDRESS MODE NET PORT COUNT DRAINING
  local n state
  echo "    { \"name\": \"$1\", \"address\": \"$2\", \"mode\": \"$3\", \"status_port\": 8080, \"targets\": ["
  for ((n = 1; n <= $6; n++)); do
    state=active
    [[ "$1-$n" == "$7" ]] && state=draining
    echo "      { \"name\": \"$1-$n\", \"zone\": \"${zones[$(((n - 1) % 3))]}\", \"address\": \"127.$4.0.$n:$5\", \"state\": \"$state\" }$([[ $n -lt $6 ]] && echo ,)"
  done
  echo "    ] }"
}
publish() { # VERSION
  "$bin/apps/wasabiloom" bundle check "$work/bundle-$1.json" >/dev/null || fail "bundle $1 is wrong"
  "$bin/apps/wasabiloom" bundle sign "$work/bundle-$1.json" --key "$work/operator.secret" --out "$work/signed" || fail "cannot sign"
  mv "$work/signed" "$work/values/bundle"
}

# --- start --------------------------------------------------------------------
mkdir "$work/values"
"$bin/apps/wasabiloom" keys new "$work/operator" >/dev/null || fail "no keys"
write_bundle 1 none
write_bundle 2 keeper-desk-2
write_bundle 3 none
publish 1
write_list() { # LEAVING-HOST
  local n state
  for n in 1 2 3 4 5 6; do
    state=live
    [[ $n == "$1" ]] && state=leaving
    echo "host entry-$n ${zones[$(((n - 1) % 3))]} 127.10.0.$n $state"
  done >"$work/hosts.new"
  mv "$work/hosts.new" "$work/hosts"
}
write_list none

start config "$bin/standins/standin_config_service" --listen 127.50.0.1:7000 --folder "$work/values"
start hostlist "$bin/standins/standin_host_list" --listen 127.50.0.2:7000 --file "$work/hosts"
start fabric "$bin/standins/standin_fabric" --listen 127.60.0.1:6080 --host-list "$work/hosts" --duplicate 0.01 --reorder 0.05
backends=()
start_backends() { # SERVICE ADDRESS MODE NET PORT COUNT
  local n
  for ((n = 1; n <= $6; n++)); do
    start "$1-$n" "$bin/standins/standin_backend_server" --name "$1-$n" --service "$1" --service-address "$2" \
      --listen "127.$4.0.$n:$5" --mode "$3" --report "$work/report-$1-$n"
    backends+=("$1-$n")
  done
}
start_backends keeper-desk "$feed_service" connections 31 6080 6
start_backends scan-vault "$photo_service" requests 32 9100 4
start_backends reserve-svc "$reserve_service" requests 33 9100 6
live_hosts=()
for n in 1 2 3 4 5 6; do
  cat >"$work/entry-$n.json" <<SETTINGS
// Settings of one entry host.
{ "name": "entry-$n", "zone": "${zones[$(((n - 1) % 3))]}", "address": "127.10.0.$n",
  "config_service": "127.50.0.1:7000", "host_list": "127.50.0.2:7000",
  "trusted_keys": [ "$(cat "$work/operator.public")" ],
  "log": { "file": "$work/entry-$n.log" } }
SETTINGS
  start "entry-$n" "$bin/apps/wasabiloomd" --settings "$work/entry-$n.json"
  live_hosts+=("127.10.0.$n")
done
until_true 20 all_hosts_have "ready=1 bundle=1" || { for n in 1 2 3 4 5 6; do cat "$work/entry-$n.out"; status_of 127.10.0.$n; done; fail "the hosts did not become ready"; }
echo "demo: 6 entry hosts ready in 3 zones"

# --- the main job ---------------------------------------------------------------
start caller "$bin/standins/standin_caller" --listen 127.20.0.1:6080 --fabric 127.60.0.1:6080 --report "$work/report-caller" \
  --feed-service "$feed_service" --feeds "$feeds" --repeatable-service "$photo_service" --repeatable-rate 40 \
  --once-service "$reserve_service" --once-rate 40
sleep 5
echo "demo: $feeds feeds open; draining keeper-desk-2 (bundle 2)"
publish 2
until_true 10 all_hosts_have "ready=1 bundle=2" || fail "bundle 2 is not in force everywhere"
until_true 10 no_flow_moves || fail "the drain does not end"
sleep 4
echo "demo: returning keeper-desk-2 (bundle 3)"
publish 3
until_true 10 all_hosts_have "ready=1 bundle=3" || fail "bundle 3 is not in force everywhere"
until_true 10 no_flow_moves || fail "the return does not end"
sleep 4
echo "demo: stopping entry-4"
kill "${pids[entry-4]}"
live_hosts=(127.10.0.1 127.10.0.2 127.10.0.3 127.10.0.5 127.10.0.6)
sleep 0.5
write_list 4
wait "${pids[entry-4]}"
stopped=$?
unset "pids[entry-4]"
sleep 5
"$bin/apps/wasabiloom" explain --host 127.10.0.1:6084 --caller 127.20.0.1:10000 --service "$feed_service"

# --- the summary ------------------------------------------------------------------
stop caller
stop "${backends[@]}"
[[ -n "${DEMO_KEEP:-}" ]] && cp -r "$work" "$DEMO_KEEP"
read -r _ _ asked_feeds _ opened _ broken _ asked _ answered _ refused _ unknown _ silent _ mismatched \
  < <(grep "^caller" "$work/report-caller")
foreign=$(cat "$work"/report-*-* | awk '/^backend/ { sum += $8 } END { print sum + 0 }')
twice=$(cat "$work"/report-*-* | grep "^ran once-" | sort | uniq -d | wc -l)
lied=$(cat "$work"/report-*-* | sed -n 's/^ran //p' | sort -u | comm -12 - <(sed -n 's/^refused //p' "$work/report-caller" | sort) | wc -l)
cat <<SUMMARY
flows asked            $asked_feeds
flows opened           $opened
flows broken           $broken
requests asked         $asked
requests answered      $answered
requests refused       $refused (not run)
requests unknown       $unknown
requests without reply $silent
answers mixed up       $mismatched
run twice              $twice
refused though run     $lied
wrong service          $foreign
SUMMARY
[[ $opened == "$asked_feeds" && $broken == 0 && $twice == 0 && $lied == 0 && $foreign == 0 && $silent == 0 && $mismatched == 0 && $answered -gt 0 ]] || fail "a promise broke"
[[ $stopped == 0 ]] || fail "entry-4 ended with code $stopped"
echo "demo: every promise held"
