#!/usr/bin/env bash
# Runs a trace against several policies in alternation and compares the results.
#
#   compare.sh TRACE BUNDLE RUNS SPEED POLICY...
#
# The first policy is the baseline. Reports are kept in run/compare/ or in the
# directory WHEATSEAM_COMPARE_DIR. STANDIN_FLAGS are passed to the stand-ins.
# Each run starts a new fleet without caches, estimates or queues of earlier runs.
set -euo pipefail
cd "$(dirname "$0")/.."

[ $# -ge 6 ] || { sed -n '2,9p' "$0" >&2; exit 2; }
trace=$1 bundle=$2 runs=$3 speed=$4
shift 4
policies=("$@")
dir=${WHEATSEAM_COMPARE_DIR:-run/compare}
mkdir -p "$dir"

measure() {
  local policy=$1 run=$2 fleet="$dir/fleet-$1"
  scripts/fleet.sh up "$fleet" "$bundle" "$policy" "${STANDIN_FLAGS:-}"
  scripts/fleet.sh replay "$fleet" "$trace" --speed "$speed" --seed "$run" --label "$policy" \
    --json "$dir/$policy-$run.json" > "$dir/$policy-$run.txt" || true
  scripts/fleet.sh down "$fleet"
  sed -n '1p;4p' "$dir/$policy-$run.txt"
  grep '^violations' "$dir/$policy-$run.txt"
}

# Even runs take the policies in reverse order.
for run in $(seq "$runs"); do
  order=("${policies[@]}")
  if [ $((run % 2)) = 0 ]; then
    order=()
    for policy in "${policies[@]}"; do order=("$policy" "${order[@]}"); done
  fi
  for policy in "${order[@]}"; do measure "$policy" "$run"; done
done

sets=()
for policy in "${policies[@]}"; do
  files=""
  for run in $(seq "$runs"); do files="$files${files:+,}$dir/$policy-$run.json"; done
  sets+=("$policy=$files")
done
bin/wheatseam replay compare --json "$dir/comparison.json" "${sets[@]}"
uptime
