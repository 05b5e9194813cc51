#!/usr/bin/env bash
# Plants each fault of proofs/planted in a scratch copy of the last commit, and runs the check that
# must see it:
#
#   scripts/planted.sh [NAME...]      all faults, or those named
#
# A patch begins with the lines "# rule:", "# takes out:" and "# check:", the last of which is a
# go test command. A fault is "seen" if the check passes without it, and fails with it in a test.
# The exit status is 1 if a fault is not seen, its patch does not apply, or its check can't tell.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD

scratch=$(mktemp -d)
trap 'git worktree remove --force "$scratch/tree" 2>/dev/null; rm -rf "$scratch"' EXIT
git worktree add --quiet --detach "$scratch/tree" HEAD || exit 1

# header PATCH FIELD prints a field of a patch's header.
header() { sed -n "s/^# $2: //p" "$1" | head -1; }

# check COMMAND runs a check in the scratch copy. Its output is in $scratch/out.
check() { (cd "$scratch/tree" && bash -c "$1 -count=1 -timeout 60s") >"$scratch/out" 2>&1; }

# plant PATCH prints what the check of a patch says about its fault, and fails if it was not seen.
plant() {
  local patch=$1 command start
  command=$(header "$patch" check)
  if ! git -C "$scratch/tree" apply --check "$patch" 2>"$scratch/out"; then
    echo "DOES NOT APPLY: the code has moved"
    return 1
  fi
  if ! check "$command"; then
    echo "CAN'T TELL: the check fails without the fault"
    return 1
  fi
  git -C "$scratch/tree" apply "$patch"
  start=$(date +%s.%N)
  check "$command"
  local status=$? took
  took=$(echo "$(date +%s.%N) $start" | awk '{printf "%.1f", $1 - $2}')
  git -C "$scratch/tree" checkout --quiet -- .
  if grep -q -e '\[build failed\]' -e '\[setup failed\]' "$scratch/out"; then
    echo "CAN'T TELL: the fault does not compile"
    return 1
  fi
  if grep -q '^panic: test timed out' "$scratch/out"; then
    echo "CAN'T TELL: the check did not end ($took s)"
    return 1
  fi
  if [ $status -eq 0 ] || ! grep -q -e '--- FAIL' -e '^panic: ' "$scratch/out"; then
    echo "NOT SEEN ($took s)"
    return 1
  fi
  echo "seen ($took s)"
}

names=("$@")
if [ $# -eq 0 ]; then
  for patch in proofs/planted/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi
failed=0
for name in "${names[@]}"; do
  patch=$root/proofs/planted/$name.patch
  printf '%-9s %-24s ' "$(header "$patch" rule)" "$name"
  if ! plant "$patch"; then
    failed=$((failed + 1))
    tail -5 "$scratch/out" | sed 's/^/    /'
  fi
done
echo "$((${#names[@]} - failed)) of ${#names[@]} planted faults seen"
[ "$failed" -eq 0 ]
