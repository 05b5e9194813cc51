#!/usr/bin/env bash
# Regenerates the traces in traces/ and examples/ from their scenarios and seeds.
# bin/ must be built (make build).
set -euo pipefail
cd "$(dirname "$0")/.."

make_trace() {
  local file=$1 scenario=$2 bundle=$3
  shift 3
  bin/wheatseam trace make "$scenario" --bundle "examples/$bundle.yaml" --out "$file" "$@"
}

make_trace examples/demo.jsonl two-faults demo --seed 7 --load 0.1 --duration 6s
make_trace traces/steady.jsonl steady demo --seed 1 --load 1 --duration 30s
make_trace traces/firma-day.jsonl firma-day firma-abierta --seed 2 --load 0.3 --duration 40s
make_trace traces/kawabata-typhoon.jsonl kawabata-typhoon kawabata --seed 3 --load 0.8 --duration 40s
make_trace traces/stragglers.jsonl stragglers demo --seed 4 --load 0.7 --duration 44s
make_trace traces/upstream-down.jsonl upstream-down demo --seed 5 --load 0.6 --duration 30s
make_trace traces/greedy-customer.jsonl greedy-customer demo --seed 6 --load 0.4 --duration 36s
make_trace traces/two-faults.jsonl two-faults demo --seed 7 --load 0.6 --duration 40s
make_trace traces/retry-storm.jsonl retry-storm demo --seed 8 --load 0.5 --duration 40s
