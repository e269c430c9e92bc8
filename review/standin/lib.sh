# Starts entry hosts as the deploy file says and one case beside them. Source it,
# then call run_case FOLDER HOSTS. Exit code: 1 rule broken, 0 held, 2 can't run.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
net=127.$((RANDOM % 200 + 20))
base=$((RANDOM % 90 * 100 + 12000))
packets=$((base + 1)) ready=$((base + 2)) control=$((base + 3))
store=$((base + 4)) peers=$((base + 10))
program=$(sed -n 's/^run = "\([^" ]*\)".*/\1/p' "$root/deploy/system.toml" | head -1)
export TROUBLE=${TROUBLE:-1} SITE_NET=$net SITE_PACKETS=$packets SITE_READY=$ready
export SITE_STORE=$store SITE_WORK=$work

cleanup() {
  local file
  for file in "$work"/*.pid; do
    [[ -e $file ]] && kill -9 "$(<"$file")" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

zone_of() { printf %s "abc" | cut -c $(((($1 - 1) % 3) + 1)); }

# What deploy/settings.template makes of the settings of a small deployment.
settings() { # NUMBER
  cat <<JSON
{
  "name": "frontend-$1",
  "zone": "$(zone_of "$1")",
  "address": "$net.0.$1",
  "packets": "$net.0.$1:$packets",
  "readiness": "$net.0.$1:$ready",
  "peer_port": $peers,
  "metrics_port": 9464,
  "zone_out_ms": 5000,
  "in_touch_ms": 4000,
  "config_ms": 3000,
  "drain_ms": 3000,
  "stop_grace_ms": 6000,
  "link_mbps": 1000.0,
  "cores": 0.25,
  "peers": ["$net.0.1:$control","$net.0.2:$control","$net.0.3:$control"],
  "registry": "$net.5.$1:$store"
}
JSON
}

start_host() { # NUMBER
  settings "$1" >"$work/host$1.json"
  (cd "$root" && exec env -i PATH="$PATH" HOME="$work" LANG=C \
    WASABILOOM_CONFIG="$work/host$1.json" "$program") >>"$work/host$1.log" 2>&1 &
  echo $! >"$work/host$1.pid"
  disown $!
}

run_case() { # FOLDER HOSTS
  local folder=$1 hosts=$2 i cue number code
  export SITE_HOSTS=$hosts
  [[ -x $root/$program ]] || { echo "not built: $program" >&2; exit 2; }
  [[ -x $root/review/bin/case$folder ]] || { echo "not built: case$folder" >&2; exit 2; }
  mkfifo "$work/cues"
  timeout -k 1 112 "$root/review/bin/case$folder" "$root/review/$folder/record.txt" \
    >"$work/cues" &
  local pid=$!
  echo $pid >"$work/case.pid"
  # The case says "start" when the store listens, and later whom to start again.
  while read -r cue number; do
    case $cue in
      start) for ((i = 1; i <= hosts; ++i)); do start_host $i; done ;;
      again) start_host "$number" ;;
    esac
  done <"$work/cues"
  wait $pid
  code=$?
  rm "$work/case.pid"
  [[ -z ${KEEP_LOGS:-} ]] || cp "$work"/host*.log "$KEEP_LOGS"/
  [[ $code == 0 || $code == 1 ]] || code=2
  exit $code
}
