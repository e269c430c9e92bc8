#!/usr/bin/env bash
# Guards against hosts that never list the registry again: the store answers 503
# for some seconds, a change is confirmed as it comes back, and the history that
# the hosts' watches need is gone, so that each watch gets 410. The hosts must
# list, the change must be in force and a server that drains must get no new
# flow. docs/incidents/field-410.md describes the fault. Arguments: build
# folder; `all`, or `some` for a store that goes on to answer 503 to half of the
# hosts, the one that reads for the others among them; optionally another
# program of the host, to show the fault on it.
set -uo pipefail
build=$1
answered=${2:-all}
program=${3:-$build/platform/wasabiloom-platform}
work=$(mktemp -d)
source "$(dirname "$0")/support/processes.sh"
port=8174
hosts="1 2 3 4"
down_s=4.5
# Longest time from the return of the store until all hosts know the change. The
# pause between calls is at most 1.6 s, and a listing takes two calls.
config_s=10
# Longest time from the entry of a draining server until it gets no new flow.
drain_s=5
# Time for which the hosts are watched for calls that go on to fail.
watch_s=8
findings=0

found() {
  findings=$((findings + 1))
  echo "FOUND: $*"
}
settings() { # NUMBER
  cat <<JSON
{ "name": "h$1", "zone": "a", "address": "127.79.0.$1",
  "packets": "127.79.0.$1:$port", "readiness": "127.79.0.$1:8167",
  "peer_port": 7720, "stop_grace_ms": 4000,
  "link_mbps": $(($1 == 1 ? 2000 : 1000)),
  "peers": [ "127.79.0.1:8166", "127.79.0.2:8166" ],
  "registry": "127.79.5.$1:7000" }
JSON
}
entry() { # ID ADDRESS STATE
  cat >"$work/entry" <<JSON
{ "Service": "desk", "Address": "$2", "Zone": "a", "Version": "v1", "Slots": 2,
  "State": "$3", "ColdRemainingMs": 0, "Sequence": 1, "born": 1768772581052 }
JSON
  mv "$work/entry" "$work/store/servers/$1"
}
route() { # NAME PORT
  echo "{ \"Name\": \"$1\", \"Host\": \"198.18.0.1\", \"Prefix\": \"/$2/\",
    \"Kind\": \"safe\", \"Service\": \"desk\" }"
}
config() { # VERSION ROUTES
  cat >"$work/config" <<JSON
{ "Version": $1, "Routes": [ $2 ],
  "Services": [ { "Name": "desk", "ColdPerS": 0.0 } ],
  "Limits": { "IdleTimeoutMs": 15000 } }
JSON
  mv "$work/config" "$work/store/op/config"
}
# A fault takes effect at once or not at all.
fault() {
  echo "$1" >"$work/fault"
  mv "$work/fault" "$work/store/.faults"
}
caller() { # NAME ADDRESS ROUTE FEEDS
  start "$1" "$build/standins/standin_token_caller" --listen "$2:$port" \
    --route "$3" --service desk --hosts "$work/hosts" --feeds "$4" \
    --report "$work/report-$1"
}
is_ready() {
  exec 3<>"/dev/tcp/127.79.0.$1/8167" || return 1
  printf 'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
  cat <&3 | grep -a -q "HTTP/1.1 200"
}
all_ready() {
  local n
  for n in $hosts; do is_ready "$n" || return 1; done
}
total() { sed -n "s/.*\b$2=\([0-9]*\).*/\1/p" "$work/report-$1"; }
at_least() { (($(total "$1" "$2") >= $3)); }
# Lines that host NUMBER has logged after line FROM and that match PATTERN.
lines() { # NUMBER FROM PATTERN
  tail -n "+$(($2 + 1))" "$work/h$1.out" | grep -c "$3"
}
length() { wc -l <"$work/h$1.out"; }
within() { # SECONDS COMMAND...: polls
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || return 1
    sleep 0.05
  done
}
all_refuse_route() {
  local n
  for n in $hosts; do
    (($(lines "$n" 0 "reason=no_route.*route=198.18.0.1:8443") > 0)) || return 1
  done
}
# What the hosts log of their calls after line FROM[n].
show_calls() {
  local n
  for n in $hosts; do
    echo "h$n: $(lines "$n" "${from[$n]}" "registry_call_failed.*status 410") times status 410," \
      "$(lines "$n" "${from[$n]}" registry_listed) listings; the last:"
    tail -n "+$((${from[$n]} + 1))" "$work/h$n.out" |
      grep "registry_call_failed\|registry_listed\|registry_reachable" | tail -3
  done
}

mkdir -p "$work/store/servers" "$work/store/op/evacuate"
config 3 "$(route kept 443), $(route old 8443)"
start store "$build/standins/standin_store" --folder "$work/store" \
  --listen 127.79.5.1:7000,127.79.5.2:7000,127.79.5.3:7000,127.79.5.4:7000
for n in 1 2 3; do
  start "i-a$n" "$build/standins/standin_token_server" --id "i-a$n" \
    --listen "127.79.1.$n:9000" --service desk --return-port $port
  entry "i-a$n" "127.79.1.$n:9000" ready
done
for n in $hosts; do
  settings "$n" >"$work/h$n.json"
  start "h$n" env WASABILOOM_CONFIG="$work/h$n.json" "$program"
done
await "ready hosts" all_ready
for n in $hosts; do echo "127.79.0.$n:$port"; done >"$work/hosts"
caller kept 127.79.9.1 198.18.0.1:443 20
await "answers" at_least kept answered 100

fault down
sleep $down_s
declare -A from
for n in $hosts; do from[$n]=$(length "$n"); done
config 9 "$(route kept 443)"
sleep 0.1 # five polls of the store
if [[ $answered == some ]]; then
  # The most capable host, the first, reads for the others.
  fault "forget
refuse 127.79.5.1:7000 127.79.5.2:7000"
else
  fault forget
fi

# The change is in force: each host refuses the route that was dropped.
sleep $config_s
caller dropped 127.79.9.2 198.18.0.1:8443 0
within 5 all_refuse_route ||
  found "version 9 not in force on all hosts $config_s s after the store was back"
placed=0
for n in $hosts; do
  placed=$((placed + $(lines "$n" 0 "action=deliver reason=placed.*route=198.18.0.1:8443")))
done
((placed == 0)) || found "$placed flows placed on the dropped route"
stop dropped

# A server that announces that it is draining gets no new flow.
entry i-a1 127.79.1.1:9000 draining
sleep $drain_s
declare -A mark
for n in $hosts; do mark[$n]=$(length "$n"); done
sleep $watch_s
placed=0
gone=0
for n in $hosts; do
  placed=$((placed + $(lines "$n" "${mark[$n]}" "reason=placed.*server=i-a1 ")))
  gone=$((gone + $(lines "$n" "${mark[$n]}" "registry_call_failed.*status 410")))
done
((placed == 0)) || found "$placed flows placed on the draining server"
((gone == 0)) || found "$gone calls got 410 in the last $watch_s s"
[[ $(total kept broken) == 0 && $(total kept wrong) == 0 ]] ||
  found "flows were harmed: $(cat "$work/report-kept")"
if ((findings > 0)); then
  show_calls
  exit 1
fi
show_calls
echo "registry_410: all steps held"
