# The keys of the peer protocol rotate without dropped messages or suspected
# peers, invalid settings change nothing, and the example settings are valid.
. tests/system/lib.sh

for file in examples/*.yaml; do
  check "$file is valid" "$build/packages/daemon/waxwinglinkd" \
    --settings "$file" --check
done

fleet_start_platform
start_data_centre 1 2
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
has_all_peers () {
  curl -sf "$(fleet_admin_url "$1")/metrics" | grep -q '^waxwing_peers_live 3$'
}
hosts="entry-1-a entry-1-b entry-1-c"
for host in $hosts; do
  check "$host has all peers" wait_for 20 has_all_peers "$host"
done

reload_settings () {
  local host=$1 before
  before=$(grep -c 'event=reload' "$work/$host.log" || true)
  kill -HUP "$(cat "$work/$host.pid")"
  has_reloaded () { [ "$(grep -c 'event=reload' "$work/$host.log")" -gt "$before" ]; }
  wait_for 10 has_reloaded
}
set_keys () {
  local host
  for host in $hosts; do
    sed -i "s/^  keys: .*/  keys: [$1]/" "$work/$host.yaml"
    check "$host reloads" reload_settings "$host"
  done
  for host in $hosts; do
    check "$host still has all peers" wait_for 10 has_all_peers "$host"
  done
}
new_key=2:ffeeddccbbaa99887766554433221100
set_keys "\"$fleet_key\", \"$new_key\""
set_keys "\"$new_key\", \"$fleet_key\""
set_keys "\"$new_key\""
count_suspected () {
  grep -ho '"state":"[a-z]*"' <<< "$(curl -sf "$(fleet_admin_url "$1")/status" \
    | sed 's/"groups".*//')" | grep -cv alive || true
}
for host in $hosts; do
  check "$host suspects no peer" test "$(count_suspected "$host")" = 0
  check "$host dropped no message" bash -c "curl -sf '$(fleet_admin_url "$host")/metrics' \
    | grep -q '^waxwing_peer_dropped_total{reason=\"authentication\"} 0$'"
done

echo "colour: red" >> "$work/entry-1-a.yaml"
sed -i 's/settle_ms: 500/settle_ms: 400/' "$work/entry-1-a.yaml"
check "an invalid file is read" reload_settings entry-1-a
check "the error names the key" grep -q 'event=settings-error.*key=colour' \
  "$work/entry-1-a.log"
check "an invalid file changes no setting" \
  bash -c "! grep -q 'setting-changed key=drain.settle_ms' '$work/entry-1-a.log'"
