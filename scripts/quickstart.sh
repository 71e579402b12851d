#!/usr/bin/env bash
# Installs the packages, builds, and demonstrates the system: two data centres
# with two entry hosts each, groups of two members, and a booking service.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh release

build=build/release
work=$(mktemp -d)
entries=()
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$work"' EXIT

print_step () { printf '\n== %s\n' "$*"; }

print_step "starting the stand-ins and four entry hosts in casa-1 and casa-2"
fleet_start_platform
for dc in 1 2; do
  fleet_start_engines "engines-$dc" "casa-$dc" "fabric-$dc" \
    "e$dc-1,e$dc-2,e$dc-3,e$dc-4"
  fleet_start_engines "booking-$dc" "casa-$dc" '' "b$dc-1" --service=booking-app
done
fleet_publish_hosts
for dc in 1 2; do
  fleet_start_entry "entry-$dc-a" "casa-$dc"
  fleet_start_entry "entry-$dc-b" "casa-$dc"
done

print_step "applying a sample sheet"
credential=quickstart-secret
hash=$(printf %s "$credential" | sha256sum | cut -d' ' -f1)
cat > "$work/sheet.csv" << CSV
kind,name,model,version,adapters,span,count,data_centres,domains,hosts,customers,credential_sha256,weight,rate,in_flight,non_idempotent
customer,school-1,,,,,,casa-1;casa-2,,,,$hash,10,0,0,
model,draft-llm,,v1,,,,,,,,,,,,
group,quotes,draft-llm,,,2,4,casa-1;casa-2,,,school-1,,,,,
service,booking-app,,,,,,casa-1;casa-2,,,school-1,,,,,*
end,,,,,,4,,,,,,,,,
CSV
run_operator sheet check "$work/sheet.csv"
run_operator sheet apply "$work/sheet.csv"
wait_for 20 fleet_has_serving_groups entry-1-a 2
wait_for 20 fleet_has_serving_groups entry-2-a 2

print_step "a streamed generation through entry-1-a"
curl -sSN -X POST "$(fleet_callers_url entry-1-a)/v1/completions" \
  -H "Authorization: Bearer $credential" \
  -d '{"model":"draft-llm","prompt":"Quote for 12 whiteboards","max_tokens":8,"stream":true}'

print_step "a booking through entry-1-a, and a repeat with its key through entry-2-a"
key=$(cat /proc/sys/kernel/random/uuid)
stamp=$(printf '%012x' "$(date +%s%3N)")
key=${stamp:0:8}-${stamp:8:4}-7${key:15:3}-${key:19}
for entry in entry-1-a entry-2-a; do
  curl -sSi -X POST "$(fleet_callers_url "$entry")/v1/services/booking-app/bookings" \
    -H "Authorization: Bearer $credential" -H "Idempotency-Key: $key" \
    -d '{"school":"school-1","visit":"2026-12-07"}' | tr -d '\r' \
    | grep -Ei '^(HTTP|Idempotency-Replayed|\{)'
done

print_step "waxwinglink status"
run_operator status
print_step "stopping"
fleet_stop
echo "done"
