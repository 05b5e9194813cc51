#!/usr/bin/env bash
# Generates the traces of docs/MEASUREMENTS.md that are not in traces/, and runs
# one trace on a new fleet.
#
#   goals.sh traces                                writes run/goals/*.jsonl and bundles
#   goals.sh run LABEL BUNDLE TRACE SEED [POLICY]  writes run/goals/LABEL.json and .txt
#
# bin/ must be built (make build).
set -euo pipefail
cd "$(dirname "$0")/.."
dir=run/goals
mkdir -p "$dir"

make_trace() {
  local name=$1 scenario=$2 bundle=$3
  shift 3
  bin/wheatseam trace make "$scenario" --bundle "examples/$bundle.yaml" --out "$dir/$name.jsonl" "$@"
}

# with_objective writes a variant of a bundle with other objective weights.
with_objective() {
  sed "s/^objective:.*/objective: {attainment: $3, cost_by_stage: $4}/" "examples/$1.yaml" > "$dir/$1-$2.yaml"
}

traces() {
  make_trace steady-1x steady demo --seed 1 --load 1 --duration 20s
  make_trace steady-2x steady demo --seed 11 --load 2 --duration 20s
  make_trace greedy greedy-customer demo --seed 6 --load 0.4 --duration 24s
  make_trace firma steady firma-abierta --seed 1 --load 0.7 --duration 20s
  { cat "$dir/firma.jsonl"
    echo '{"type":"fault","at_ms":2000,"pool":"lm","replicas":[0],"body":{"slow_factor":10}}'
  } > "$dir/firma-straggler.jsonl"
  make_trace firma-1x steady firma-abierta --seed 1 --load 1 --duration 20s
  make_trace firma-2x steady firma-abierta --seed 1 --load 2 --duration 20s
  make_trace kawabata-1x steady kawabata --seed 1 --load 1 --duration 20s
  make_trace firma-half steady firma-abierta --seed 1 --load 0.5 --duration 20s
  make_trace kawabata-half steady kawabata --seed 1 --load 0.5 --duration 20s
  local bundle
  for bundle in firma-abierta kawabata; do
    sed "s/requests_per_second: [0-9]*/requests_per_second: 10000/" "examples/$bundle.yaml" > "$dir/$bundle-open.yaml"
    with_objective "$bundle" attainment 1 0.2
    with_objective "$bundle" cost 0.4 1
  done
}

run() {
  local label=$1 bundle=$2 trace=$3 seed=$4 policy=${5:-adaptive}
  scripts/fleet.sh up "$dir/fleet-$label" "$bundle" "$policy"
  scripts/fleet.sh replay "$dir/fleet-$label" "$trace" --seed "$seed" --label "$label" \
    --json "$dir/$label.json" > "$dir/$label.txt" || true
  scripts/fleet.sh down "$dir/fleet-$label"
  sed -n '1p;4p' "$dir/$label.txt"
  grep '^violations' "$dir/$label.txt"
}

command=${1:-}
[ $# -gt 0 ] && shift
case "$command" in
  traces) traces ;;
  run) run "$@" ;;
  *) sed -n '2,9p' "$0" >&2; exit 2 ;;
esac
