# Keys of the peer protocol rotate with no pause, wrong settings change
# nothing, and the examples are valid.
. tests/system/lib.sh

for file in examples/*.yaml; do
  check "$file is valid" "$build/packages/daemon/waxwinglinkd" \
    --settings "$file" --check
done

fleet_platform
start_data_centre 1 2
fleet_publish_hosts
start_entries entry-1-a entry-1-b entry-1-c
joined () {
  curl -sf "$(admin "$1")/metrics" | grep -q '^waxwing_peers_live 3$'
}
hosts="entry-1-a entry-1-b entry-1-c"
for host in $hosts; do
  check "$host finds the others" wait_for 20 joined "$host"
done

reload () {
  local host=$1 before
  before=$(grep -c 'event=reload' "$work/$host.log" || true)
  kill -HUP "$(cat "$work/$host.pid")"
  reloaded () { [ "$(grep -c 'event=reload' "$work/$host.log")" -gt "$before" ]; }
  wait_for 10 reloaded
}
set_keys () {
  local host
  for host in $hosts; do
    sed -i "s/^  keys: .*/  keys: [$1]/" "$work/$host.yaml"
    check "$host reloads" reload "$host"
  done
  for host in $hosts; do
    check "$host still has its peers" wait_for 10 joined "$host"
  done
}
new=2:ffeeddccbbaa99887766554433221100
set_keys "\"$fleet_key\", \"$new\""
set_keys "\"$new\", \"$fleet_key\""
set_keys "\"$new\""
suspected () {
  grep -ho '"state":"[a-z]*"' <<< "$(curl -sf "$(admin "$1")/status" \
    | sed 's/"groups".*//')" | grep -cv alive || true
}
for host in $hosts; do
  check "$host suspects nobody" test "$(suspected "$host")" = 0
  check "$host dropped no message" bash -c "curl -sf '$(admin "$host")/metrics' \
    | grep -q '^waxwing_peer_dropped_total{reason=\"authentication\"} 0$'"
done

echo "colour: red" >> "$work/entry-1-a.yaml"
sed -i 's/settle_ms: 500/settle_ms: 400/' "$work/entry-1-a.yaml"
check "a wrong file is read" reload entry-1-a
check "its error names line and key" grep -q 'event=settings-error.*key=colour' \
  "$work/entry-1-a.log"
check "and it changes nothing" \
  bash -c "! grep -q 'setting-changed key=drain.settle_ms' '$work/entry-1-a.log'"
