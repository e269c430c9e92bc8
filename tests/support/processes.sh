# What tests of real processes share: start, wait, fail, clean up. To be
# sourced after `work` is set to a fresh folder.
declare -A pids
cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap cleanup EXIT
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pids[$name]=$!
}
fail() {
  echo "FAILED: $*"
  cat "$work"/*.out | tail -40
  exit 1
}
await() { # WHAT COMMAND...: polls for as long as the test may run
  local what=$1 tries=0
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    ((tries < 1200)) || fail "never saw: $what"
    sleep 0.05
  done
}
stop() { # NAME: ends a process gracefully, which must succeed
  kill "${pids[$1]}"
  ended "$1"
}
ended() { # NAME: waits for a process that was told to stop
  wait "${pids[$1]}"
  local code=$?
  unset "pids[$1]"
  [[ $code == 0 ]] || fail "$1 ended with $code"
}
kill_hard() { # NAME
  kill -9 "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null
  unset "pids[$1]"
}
