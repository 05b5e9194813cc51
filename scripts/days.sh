#!/usr/bin/env bash
# Runs the days of deploy/days/ on a site file with the users' bench and prints one
# line for each. Exits with 1 if a rule is violated, a process exits unexpectedly or
# a day cannot be run.
#
#   scripts/days.sh BENCH SITE [DAY...]
set -uo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2
shift 2
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)
jobs=${JOBS:-4}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >/dev/null || exit 1

play() {
  name=$(basename "$1" .toml)
  "$bench" run "$site" "$1" --why "own day $name" >"$out/$name" 2>&1
}
for day in "${days[@]}"; do
  while [ "$(jobs -r | wc -l)" -ge "$jobs" ]; do wait -n; done
  play "$day" &
done
wait

bad=0
for day in "${days[@]}"; do
  name=$(basename "$day" .toml)
  line=$(grep "^$name " "$out/$name" || echo "$name not played: $(tail -1 "$out/$name")")
  echo "$line"
  if grep -q "BROKEN\|exits\? of its own\|not played" <<<"$line"; then
    bad=1
    grep -m1 -A12 "the first that is wrong" "$out/$name"
  fi
done
exit $bad
