#!/usr/bin/env bash
# Plays the days of deploy/days/resumes/ on a site file with the users' bench and prints, for each day,
# how many of the streams that callers took up went on, how many new ones began, and why the others
# were refused.
#
#   resumes.sh BENCH SITE [NAME...]
#
# SEEDS are the seeds of the plays (3101), JOBS the plays at a time (3), SYSTEM the worktree whose system
# is played (this one), OUT a directory that keeps the bench's output, and skips the plays that it holds.
# Exits with 1 if a play breaks a rule or cannot be run.
set -uo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || { sed -n '2,11p' "$0" >&2; exit 2; }
bench=$(realpath "$1") site=$(realpath "$2")
shift 2
table=deploy/days/resumes/disturbances.txt
names=("$@")
[ ${#names[@]} -gt 0 ] || mapfile -t names < <(awk '!/^#/ && NF { print $1 }' $table)
seeds=${SEEDS:-3101} jobs=${JOBS:-3} system=$(realpath "${SYSTEM:-.}")
out=${OUT:-$(mktemp -d)}
mkdir -p "$out/days"
out=$(realpath "$out")

# The first kind of request that is a stream and may be taken up, and its service.
class_line=$(awk '/^classes = \[/ { in_classes = 1 } in_classes && /^\]/ { exit } in_classes && /resume = true/ { print; exit }' "$site")
class=$(sed -E 's/.*\{ name = "([^"]*)".*/\1/' <<<"$class_line")
service=$(sed -E 's/.*, service = "([^"]*)", method.*/\1/' <<<"$class_line")
site_name=$(awk -F'"' '/^name = / { print $2; exit }' "$site")
[ -n "$class" ] || { echo "$site_name: no kind of request may be taken up" >&2; exit 2; }

write_day() {
  local name=$1 list entry share=1.0 plan="" faults=""
  read -r list entry < <(awk -v name="$name" '$1 == name { $1 = ""; print }' $table) || { echo "$name: no such day" >&2; return 1; }
  case $list in
    release) share=$entry ;;
    plan) plan="  $entry," ;;
    faults) faults="  $entry," ;;
  esac
  sed -e "s/@c0/$class/g" -e "s/@s0/$service/g" <<EOF
name = "resumes-$name"
length_s = 28.0
classes = [{ name = "@c0", retries = 3 }]
plan = [
  { at = 6.0, kind = "release", how = "newer", share = $share, x = 60.0, service = "@s0" },
$plan
]
faults = [
  { at = 2.0, kind = "burst", class = "@c0", x = 2.0, for_s = 24.0 },
  { at = 8.8, kind = "herd_kill", how = "power", share = 1.0, for_s = 1.8 },
$faults
]
EOF
}

play() {
  local name=$1 seed=$2 file=$out/$site_name-$1-$2.txt
  grep -qs '^snapshot' "$file" && return
  (cd "$system" && "$bench" run "$site" "$out/days/$site_name-$name.toml" --seed "$seed" --no-cpu --log all --jobs 1 \
    --why "day resumes/$name") >"$file" 2>&1
}

# Counts of one play, from the lines of the hosts' logs. An attempt to take a stream up is a request with
# `resumes`, and goes on if it sends an event. New ones are the other requests of the same routes. The
# ratio is the share of attempts that go on by the share of new ones that begin, as the rule LOST has it.
count() {
  awk -v name="$1" -v seed="$2" -v site="$site_name" '
    function field(key,   i, rest) {
      i = index($0, " " key "=")
      if (!i) return ""
      rest = substr($0, i + length(key) + 2)
      if (rest ~ /^"/) { rest = substr(rest, 2); return substr(rest, 1, index(rest, "\"") - 1) }
      i = index(rest, " ")
      return i ? substr(rest, 1, i - 1) : rest
    }
    function cause(   why, outcome) {
      why = field("why"); outcome = field("outcome")
      if (why ~ /not known: [a-z_]+/) {
        match(why, /not known: [a-z_]+/)
        return "version_" substr(why, RSTART + 11, RLENGTH - 11)
      }
      if (why ~ /^stages: /) return "stages_" substr(why, 9)
      return outcome
    }
    / msg=request / && index($0, " resumes=") {
      stream = field("resumes"); streams[stream] = 1; routes[field("route")] = 1; tries++
      if (field("first") != "") { went[stream] = 1; tries_on++; next }
      attempts[cause()]++; last[stream] = cause(); next
    }
    / msg=request / && index($0, " prompt_tokens=") {
      sent_by[field("route")]++
      if (field("first") != "") began_by[field("route")]++
      next
    }
    /msg="stream taken up"/ { evidence[field("evidence")]++; streams[field("resumes")] = 1; next }
    /^rules broken:/ { rules = substr($0, 15) }
    /^ORDER at/ { order = $0; sub(/^ORDER at [^:]*: /, "", order) }
    /^LOST at/ { lost = $0; sub(/^LOST at [^:]*: /, "", lost) }
    /^snapshot/ { played = 1 }
    END {
      for (s in streams) { total++; if (s in went) on++; else if (s in last) by_last[last[s]]++; else by_last["unanswered"]++ }
      for (r in routes) { sent += sent_by[r]; began += began_by[r] }
      ratio = "-"
      if (tries && began) ratio = sprintf("%.2f", (tries_on / tries) / (began / sent))
      printf "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t", site, name, seed, played ? (rules == "" ? "none" : rules) : "not played", total, on, tries, tries_on, sent, began, ratio
      for (e in evidence) printf "%s %d ", e, evidence[e]
      printf "\t"; for (c in by_last) printf "%s %d ", c, by_last[c]
      printf "\t"; for (c in attempts) printf "%s %d ", c, attempts[c]
      printf "\t%s\t%s\n", order, lost
    }' "$out/$site_name-$1-$2.txt"
}

(cd "$system" && "$bench" build) >/dev/null || exit 1
for name in "${names[@]}"; do write_day "$name" >"$out/days/$site_name-$name.toml" || exit 2; done
for seed in $seeds; do
  for name in "${names[@]}"; do
    while [ "$(jobs -r | wc -l)" -ge "$jobs" ]; do wait -n; done
    play "$name" "$seed" &
  done
done
wait

printf 'site\tday\tseed\trules broken\tstreams\tof them went on\tattempts\twent on\tnew ones\tbegan\tratio\tby evidence\tlast refusal\tall refusals\tORDER\tLOST\n' | tee "$out/$site_name.tsv"
for name in "${names[@]}"; do
  for seed in $seeds; do count "$name" "$seed"; done
done | tee -a "$out/$site_name.tsv"
! awk -F'\t' 'NR > 1 && $4 != "none"' "$out/$site_name.tsv" | grep -q .
