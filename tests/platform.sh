#!/usr/bin/env bash
# Drives the platform's entry host as real processes on loopback, against
# stand-ins of the users' store, backend servers, callers and fabric. Waits for
# conditions, never for time. Argument: build folder.
set -uo pipefail
build=$1
work=$(mktemp -d)
source "$(dirname "$0")/support/processes.sh"
program=$build/platform/wasabiloom-platform
store=127.78.5.1:7000
port=8172

settings() { # NUMBER MORE
  cat <<JSON
{ "name": "h$1", "zone": "a", "address": "127.78.0.$1",
  "packets": "127.78.0.$1:$port", "readiness": "127.78.0.$1:8167",
  "peer_port": 7720, "metrics_port": 9464, "stop_grace_ms": 4000,
  "peers": [ "127.78.0.1:8166", "127.78.0.2:8166" ],
  "registry": "$store"$2 }
JSON
}
host() { # NUMBER
  settings "$1" "" >"$work/h$1.json"
  start "h$1" env WASABILOOM_CONFIG="$work/h$1.json" "$program"
}
entry() { # ID ADDRESS STATE
  cat >"$work/entry" <<JSON
{ "Service": "desk", "Address": "$2", "Zone": "a", "Version": "v1", "Slots": 2,
  "State": "$3", "ColdRemainingMs": 0, "Sequence": 1, "born": 1768772581052 }
JSON
  mv "$work/entry" "$work/store/servers/$1"
}
config() { # VERSION
  cat >"$work/config" <<JSON
{ "Version": $1, "Routes": [ { "Name": "r", "Host": "198.18.0.1",
    "Prefix": "/443/", "Kind": "safe", "Service": "desk" } ],
  "Services": [ { "Name": "desk", "ColdPerS": 0.0 } ],
  "Limits": { "IdleTimeoutMs": 15000 } }
JSON
  mv "$work/config" "$work/store/op/config"
}
server() { # ID ADDRESS
  start "$1" "$build/standins/standin_token_server" --id "$1" --listen "$2" \
    --service desk --return-port $port
  entry "$1" "$2" ready
}
get() { # NUMBER PORT PATH
  exec 3<>"/dev/tcp/127.78.0.$1/$2" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$3" >&3
  cat <&3
}
is_ready() { get "$1" 8167 /readiness | grep -a -q "HTTP/1.1 200"; }
logged() { grep -q "$2" "$work/h$1.out"; }
# A host logs what the registry told it by itself, and what a listing or a peer
# told it in sum, with names.
knows_drain() { # NUMBER ID
  logged "$1" "name=$2 .*state=draining" ||
    logged "$1" "named=[^ ]*$2:draining"
}
knows_version() { # NUMBER VERSION
  logged "$1" "event=fact_adopted kind=configuration .*version=$2" ||
    logged "$1" "named=[^ ]*version:$2"
}
any_logged() { logged 1 "$1" || logged 2 "$1"; }
total() { sed -n "s/.*\b$1=\([0-9]*\).*/\1/p" "$work/report"; }
at_least() { (($(total "$1") >= $2)); }
healthy() {
  [[ $(total broken) == 0 ]] || fail "broken flows: $(cat "$work/report")"
  [[ $(total wrong) == 0 ]] || fail "wrong service: $(cat "$work/report")"
}
more_answers() { # COUNT: waits until so many more requests are answered
  local now
  now=$(total answered)
  await "$1 more answers" at_least answered $((now + $1))
}

mkdir -p "$work/store/servers" "$work/store/op/evacuate"
config 2
start store "$build/standins/standin_store" --listen $store --folder "$work/store"
server i-a1 127.78.1.1:9000
server i-a2 127.78.1.2:9000
host 1
host 2
await "two ready hosts" eval "is_ready 1 && is_ready 2"

# A signal to reload does not end a host that is about to read its settings, and
# a change of the file meanwhile is noticed.
mkfifo "$work/h3.json"
start h3 env WASABILOOM_CONFIG="$work/h3.json" "$program"
exec 5>"$work/h3.json" # waits until the host reads
kill -HUP "${pids[h3]}"
settings 3 ', "log_level": "debug"' >"$work/h3.next"
mv "$work/h3.next" "$work/h3.json"
settings 3 "" >&5
exec 5>&-
await "readiness after an early signal" is_ready 3
await "the settings changed meanwhile" logged 3 "event=reloaded"
stop h3
echo "127.78.0.1:$port 127.78.0.2:$port" >"$work/hosts"
start caller "$build/standins/standin_token_caller" --listen 127.78.9.1:$port \
  --route 198.18.0.1:443 --service desk --hosts "$work/hosts" --report "$work/report"
await "answers" at_least answered 100
healthy

# An entry that can't be used is set aside and harms nothing.
echo '{"Service": 3}' >"$work/store/servers/i-bad"
await "an entry set aside by the host that reads" any_logged "event=fact_set_aside kind=server name=i-bad"
entry i-bad2 127.78.1.1:70000 ready
await "an entry with a port out of range set aside" any_logged "event=fact_set_aside kind=server name=i-bad2"
head -c 1000000 /dev/zero | tr '\0' '[' >"$work/store/servers/i-bad3"
await "a deeply nested entry set aside" any_logged "event=fact_set_aside kind=server name=i-bad3"
for host in h1 h2; do
  peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${pids[$host]}/status")
  ((peak < 64 * 1024)) || fail "$host took $peak KB for odd entries"
done
more_answers 50
healthy

# Bad input is counted and logged at a bounded rate.
for _ in $(seq 200); do echo -n junk >/dev/udp/127.78.0.1/$port; done
await "malformed packets" logged 1 "event=malformed_packets"
(($(grep -c "event=malformed_packets" "$work/h1.out") <= 5)) || fail "the log is flooded"
for _ in $(seq 200); do echo -n junk >/dev/udp/127.78.0.1/7720; done
await "refused messages of hosts" logged 1 "event=message_refused"
(($(grep -c "event=message_refused" "$work/h1.out") <= 5)) || fail "the log is flooded"

# A leaving server gets no new flow and keeps its old ones.
entry i-a1 127.78.1.1:9000 draining
await "the drain" knows_drain 1 i-a1
await "the drain" knows_drain 2 i-a1
more_answers 100
healthy
entry i-a1 127.78.1.1:9000 ready

# The store falls silent: the hosts serve on, a new host learns from a peer.
echo silent >"$work/store/.faults"
await "a failing store" logged 1 "event=registry_call_failed"
kill_hard h2
echo "127.78.0.1:$port" >"$work/hosts"
host 2
await "a host that learned from its peer" logged 2 "event=learned_from_peer"
await "readiness without the store" is_ready 2
echo "127.78.0.1:$port 127.78.0.2:$port" >"$work/hosts"
more_answers 100
healthy

# The store comes back with its history gone.
echo forget >"$work/store/.faults"
config 5
await "the new configuration" knows_version 1 5
await "the new configuration" knows_version 2 5

# The store is restored from a copy that lacks the last configuration. No host
# goes back, and all take in what is written after that.
config 6
await "the configuration before the restore" eval "knows_version 1 6 && knows_version 2 6"
echo restore >"$work/store/.faults"
await "a new epoch of the store" eval 'logged 1 "event=registry_epoch epoch=1" && logged 2 "event=registry_epoch epoch=1"'
await "the epoch in the metrics" eval 'get 1 9464 /metrics | grep -a -q "wasabiloom_state{name=\"registry_epoch\"} 1"'
config 7
await "the configuration after the restore" eval "knows_version 1 7 && knows_version 2 7"
more_answers 100
healthy

# Changed settings are checked: a bad file is refused, the old one stays.
settings 1 ', "log_level": "loud"' >"$work/h1.json"
kill -HUP "${pids[h1]}"
await "refused settings" logged 1 "event=settings_refused .*log_level"
settings 1 ', "log_level": "warn"' >"$work/h1.json"
kill -HUP "${pids[h1]}"
await "settings in force" eval 'before=$(wc -l <"$work/h1.out"); sleep 0.3; (($(wc -l <"$work/h1.out") == before))'
settings 1 "" >"$work/h1.json"
await "settings noticed without a signal" logged 1 "event=reloaded"

# Metrics tell what happened.
await "metrics" eval 'get 1 9464 /metrics | grep -a -q "wasabiloom_packets_total{reason=\"token_known\"} [1-9]"'

# A planned stop breaks nothing.
kill "${pids[h1]}"
await "readiness refused" eval '! is_ready 1'
echo "127.78.0.2:$port" >"$work/hosts"
ended h1
more_answers 100
healthy
echo "platform: all steps held"
