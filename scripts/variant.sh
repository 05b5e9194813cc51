#!/usr/bin/env bash
# Writes a variant of a site file of the users' bench, to run days on deployments of
# the same kind for which no parameter was tuned.
#
#   scripts/variant.sh SITE VARIANT OUT
#
#   one-zone     all machines, replicas and callers are in one failure domain
#   eight-zones  twice the failure domains, the new ones without callers
#   one-machine  one machine per failure domain
#   two-replicas at most two replicas per service, in their failure domains
#   no-tenants   callers need no key
#   no-stages    requests have no stages
#   tight        a quarter of the processor, 96 MB, 20 Mbit/s
#   bounds       other bounds: drain and configuration in 3 s, grace 6 s
#   far          5 ms between failure domains and 30 ms to callers
set -euo pipefail
site=$1 variant=$2 out=$3
zone=$(sed -n 's/^  { name = "\([^"]*\)", region.*/\1/p' "$site" | head -1)
case $variant in
one-zone)
  sed -E "/^zones = \[/,/^\]/ { /name = \"$zone\"/!{ /name = /d } }; s/zone = \"[^\"]*\"/zone = \"$zone\"/g" "$site" ;;
eight-zones)
  sed -E '/^zones = \[/,/^\]/ s/^  \{ name = "([^"]*)"(, region.*)$/&\n  { name = "\1-b"\2/
    /^machines = \[/,/^\]/ s/^(.*zone = ")([^"]*)(".*)$/&\n\1\2-b\3/
    /^  \{ name = .*servers = / s/\{ zone = "([^"]*)", count = ([0-9]+) \}/{ zone = "\1", count = \2 }, { zone = "\1-b", count = 1 }/g' "$site" ;;
one-machine)
  sed -E '/class = "front"/ s/count = [0-9]+, spare/count = 1, spare/' "$site" ;;
two-replicas)
  sed -E '/^  \{ name = .*servers = / s/servers = \[(\{[^}]*count = )[0-9]+ \}, (\{[^}]*count = )[0-9]+ \}[^]]*\]/servers = [\11 }, \21 }]/' "$site" ;;
no-tenants)
  sed -E '/^contracts = / s/, "tenants"//; /kind = "revoke"/d; /^\[tenants\]/,/^$/d; s/ revoke//g; /how = "(tenant|quota)"/d' "$site" ;;
no-stages)
  sed -E '/^contracts = / s/, "stages"//; s/, stages = \[.*\] \},$/ },/' "$site" ;;
tight)
  sed -E 's/cpu_share = [0-9.]+/cpu_share = 0.1/; s/memory_mb = [0-9]+/memory_mb = 96/; s/link_mbps = 1000.0, zone/link_mbps = 20.0, zone/' "$site" ;;
bounds)
  sed -E 's/^drain_ms = .*/drain_ms = 3000/; s/^config_ms = .*/config_ms = 3000/; s/^grace_s = .*/grace_s = 6.0/; s/^touch_ms = .*/touch_ms = 4000/' "$site" ;;
far)
  sed -E 's/^cross_zone_ms = .*/cross_zone_ms = 5.0/; s/^client_ms = .*/client_ms = 30.0/' "$site" ;;
*)
  echo "unknown variant $variant" >&2
  exit 2 ;;
esac >"$out"
cp "$(dirname "$site")/wire.json" "$(dirname "$out")/" 2>/dev/null || true
