#!/usr/bin/env bash
# Starts and stops a fleet for measurements on loopback: all entry hosts of a
# bundle and stand-ins for the platform and all upstreams. It uses free ports;
# DIR/fleet.env has the addresses.
#
#   fleet.sh up DIR BUNDLE [POLICY [STANDIN_FLAG,...]]
#   fleet.sh down DIR
#   fleet.sh replay DIR TRACE [flags of wheatseam replay...]
#
# bin/ must be built (make build).
set -euo pipefail
cd "$(dirname "$0")/.."

launch() {
  local dir=$1 name command
  while IFS=$'\t' read -r name command; do
    # shellcheck disable=SC2086 # the command is a list of plain words
    $command > "$dir/$name.out" 2> "$dir/$name.log" &
    echo $! > "$dir/$name.pid"
  done < "$dir/processes"
}

# await_ready waits until every entry host reports that it is ready.
await_ready() {
  local dir=$1 address
  # shellcheck source=/dev/null
  . "$dir/fleet.env"
  for address in ${OPERATORS//,/ }; do
    bin/wheatseam health --address "$address" --token-file "$dir/operator.token" --wait 30s >/dev/null || return 1
  done
}

up() {
  local dir=$1 bundle=$2 policy=${3:-} flags=${4:-}
  bin/wheatseam replay prepare --bundle "$bundle" --policy "$policy" --out "$dir" \
    ${flags:+--standin-flags "$flags"} >/dev/null
  launch "$dir"
  if ! await_ready "$dir"; then
    down "$dir"
    return 1
  fi
}

down() {
  local dir=$1 file pid
  for file in "$dir"/*.pid; do
    [ -e "$file" ] && kill -TERM "$(cat "$file")" 2>/dev/null || true
  done
  for file in "$dir"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    for _ in $(seq 400); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    rm -f "$file"
  done
}

replay() {
  local dir=$1 trace=$2
  shift 2
  # shellcheck source=/dev/null
  . "$dir/fleet.env"
  bin/wheatseam replay --trace "$trace" --keys "$dir/keys.yaml" --callers "$CALLERS" \
    --control "$CONTROL" --bundle "$dir/bundle.yaml" "$@"
}

command=${1:-}
[ $# -gt 0 ] && shift
case "$command" in
  up) up "$@" ;;
  down) down "$@" ;;
  replay) replay "$@" ;;
  *) sed -n '2,10p' "$0" >&2; exit 2 ;;
esac
