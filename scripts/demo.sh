#!/usr/bin/env bash
# Runs the demo fleet on loopback: three entry daemons and stand-ins for the
# platform, the engines and the services.
#
#   demo.sh run    start, send requests, compare answers with the ledger, stop
#   demo.sh up     start and leave running; prints the addresses
#   demo.sh down   stop what "up" started
#
# WHEATSEAM_PORT_BASE (default 7000) is the base of all ports. WHEATSEAM_RUN_DIR
# (default run/) is the directory for keys, settings, logs and pids.
set -euo pipefail
cd "$(dirname "$0")/.."

BASE=${WHEATSEAM_PORT_BASE:-7000}
RUN=${WHEATSEAM_RUN_DIR:-run}
HOSTS="1 2 3"

port() { echo $((BASE + $1)); }
address() { echo "127.0.0.1:$(port "$1")"; }
caller_address() { address $((300 + $1)); }
operator_address() { address $((600 + $1)); }

write_bundle() {
  # Moves the example's ports, 7xxx, to the base.
  awk -v base="$BASE" '{
    out = ""
    while (match($0, /127\.0\.0\.1:7[0-9][0-9][0-9]/)) {
      port = substr($0, RSTART + 10, 4) - 7000 + base
      out = out substr($0, 1, RSTART - 1) "127.0.0.1:" port
      $0 = substr($0, RSTART + RLENGTH)
    }
    print out $0
  }' examples/demo.yaml > "$RUN/bundle.yaml"
  bin/wheatseam bundle keygen --force --out "$RUN/bundle" >/dev/null
  bin/wheatseam bundle sign --key "$RUN/bundle.key" --out "$RUN/bundle.signed.yaml" "$RUN/bundle.yaml"
}

write_hosts() {
  local i sep=""
  printf '{"revision":1,"hosts":[' > "$RUN/hosts.json"
  for i in $HOSTS; do
    printf '%s{"name":"entry-%s","address":"%s","role":"entry","state":"live"}' "$sep" "$i" "$(address $((400 + i)))" >> "$RUN/hosts.json"
    sep=","
  done
  printf ']}\n' >> "$RUN/hosts.json"
}

write_settings() {
  local i=$1 domains=(x lima-a lima-b lima-c)
  cat > "$RUN/entry-$i.yaml" <<SETTINGS
host: entry-$i
failure_domain: ${domains[$i]}
listen:
  callers: $(caller_address "$i")
  peers: $(address $((400 + i)))
  operators: $(operator_address "$i")
tls:
  cert: tls/entry-$i.pem
  key: tls/entry-$i-key.pem
  ca: tls/ca.pem
operators:
  token_file: operator.token
platform:
  config_service: http://$(address 201)
  host_list: http://$(address 201)
bundle_public_keys: [bundle.pub]
SETTINGS
}

launch() {
  local name=$1
  shift
  "$@" > "$RUN/$name.out" 2> "$RUN/$name.log" &
  echo $! > "$RUN/$name.pid"
}

start() {
  mkdir -p "$RUN"
  write_bundle
  write_hosts
  head -c 24 /dev/urandom | base64 > "$RUN/operator.token"
  bin/wheatseam certs --out "$RUN/tls" entry-1 entry-2 entry-3 >/dev/null
  launch platform bin/standin platform --listen "$(address 201)" --bundle "$RUN/bundle.signed.yaml" --hosts "$RUN/hosts.json"
  launch fleet bin/standin fleet --bundle "$RUN/bundle.yaml" --control "$(address 205)"
  local i
  for i in $HOSTS; do
    write_settings "$i"
    launch "entry-$i" bin/wheatseamd --settings "$RUN/entry-$i.yaml"
  done
  for i in $HOSTS; do
    bin/wheatseam health --address "$(operator_address "$i")" --token-file "$RUN/operator.token" --wait 20s >/dev/null
  done
}

stop() {
  local file pid
  for file in "$RUN"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    kill -TERM "$pid" 2>/dev/null || true
  done
  for file in "$RUN"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    for _ in $(seq 100); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    rm -f "$file"
  done
}

call() {
  local host=$1 pipeline=$2
  shift 2
  echo "--- $pipeline through entry-$host"
  bin/wheatseam call "$pipeline" --address "$(caller_address "$host")" --api-key demo-firma-key "$@"
}

run() {
  trap stop EXIT
  start
  call 1 contract-summary --text "Lease of a market stall in Lima, clause 4" --stream --id-file "$RUN/request.id"
  call 2 contract-summary --text "Lease of a market stall in Lima, clause 5"
  local key
  key=$(bin/wheatseam call --new-key)
  call 1 seal --text "deed 17" --key "$key"
  echo "--- the same seal again, with the same key, through another host"
  call 3 seal --text "deed 17" --key "$key"
  call 2 seal --text "deed 18" --new-key
  echo "--- why was the first request served as it was? (asked of entry-3)"
  bin/wheatseam explain "$(cat "$RUN/request.id")" --address "$(operator_address 3)" --token-file "$RUN/operator.token"
  echo "--- a short trace, and its answers against the stand-ins' ledger"
  bin/wheatseam replay --trace examples/demo.jsonl --keys examples/demo-keys.yaml \
    --callers "$(caller_address 1),$(caller_address 2),$(caller_address 3)" \
    --control "$(address 205)" --bundle "$RUN/bundle.yaml" --outcomes examples/demo-outcomes.yaml
}

case "${1:-}" in
  run) run ;;
  up)
    start
    for i in $HOSTS; do echo "entry-$i callers=$(caller_address "$i") operators=$(operator_address "$i")"; done
    echo "operators' token: $RUN/operator.token  ledger: http://$(address 205)/control/ledger?summary=1"
    echo "try: bin/wheatseam call seal --address $(caller_address 1) --api-key demo-firma-key --new-key --text 'deed 1'"
    ;;
  down) stop ;;
  *) echo "usage: $0 run|up|down" >&2; exit 2 ;;
esac
