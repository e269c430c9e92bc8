#!/usr/bin/env bash
# Exercises the command line and the daemon's settings check as an operator
# would. Arguments: wasabiloom, wasabiloomd, folder of examples.
set -uo pipefail
cli=$1 daemon=$2 examples=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0

expect() { # CODE PATTERN COMMAND...
  local code=$1 pattern=$2 output got
  shift 2
  output=$("$@" 2>&1)
  got=$?
  if [[ $got != "$code" ]] || ! grep -q -- "$pattern" <<<"$output"; then
    echo "FAILED: $* -> code $got, expected $code and \"$pattern\"; it printed: $output"
    failures=$((failures + 1))
  fi
}

expect 0 "Exit codes" "$cli" --help
expect 0 "wasabiloom 0" "$cli" --version
expect 2 "wasabiloom keys new" "$cli" nonsense
expect 0 "=" "$cli" keys new "$work/operator"
expect 0 "=" "$cli" keys new "$work/other"
expect 0 "3 zones" "$cli" bundle check "$examples/bundle.json"
expect 2 "required" "$cli" bundle sign "$examples/bundle.json"
expect 0 "" "$cli" bundle sign "$examples/bundle.json" --key "$work/operator.secret" --out "$work/signed"
expect 0 "keeper-desk" "$cli" bundle show "$work/signed" --key "$work/operator.public"
expect 1 "BundleBadSignature" "$cli" bundle show "$work/signed" --key "$work/other.public"
expect 1 "FileUnreadable" "$cli" bundle check "$work/missing"
sed 's/"version": 1/"version": 2/; s/"weight": 100/"weight": 50/' "$examples/bundle.json" >"$work/next.json"
expect 0 "" "$cli" bundle diff "$examples/bundle.json" "$examples/bundle.json"
expect 3 "~ version 1 -> 2" "$cli" bundle diff "$examples/bundle.json" "$work/next.json"
sed 's/"services"/"servises"/' "$examples/bundle.json" >"$work/typo.json"
expect 1 'expected key "services"' "$cli" bundle check "$work/typo.json"
expect 1 "PeerUnreachable" "$cli" status 127.0.0.1:1

expect 0 "settings are valid" "$daemon" --check-settings --settings "$examples/host.json"
sed 's/"zone"/"zome"/' "$examples/host.json" >"$work/host.json"
expect 1 'expected key "zone"' "$daemon" --check-settings --settings "$work/host.json"
expect 0 "settings file" "$daemon" --help
expect 0 "wasabiloomd 0" "$daemon" --version
expect 2 "required" "$daemon"
expect 2 "unrecognised" "$daemon" --nonsense

exit $((failures > 0))
