# Clients outside the limits do not exhaust an entry host of the own interface:
# the process stays alive, its resident memory and descriptors stay bounded, and
# ordinary requests are answered while the crowd holds its connections.  On a
# host without memory accounting the bodies of the crowd add up in memory, and
# connections that send nothing use up all descriptors.
#
# The entry host is the release build: sanitizers multiply resident memory.  The
# bound is the lowered memory limit plus what the process held before the crowd.
. tests/system/lib.sh

release=$(dirname "$build")/release
[ -x "$release/packages/daemon/waxwinglinkd" ] || {
  echo "the release build is missing; run scripts/build.sh release" >&2
  exit 1
}
limit_mb=32
body_bytes=1048576
descriptors=300
# The host must be able to connect to the platform, peers and endpoints.
free_descriptors=32

fleet_start_platform
start_data_centre 1 2
fleet_start_engines uploads casa-1 '' u1-1 --service=upload-app
fleet_publish_hosts
fleet_settings="callers:
  max_body_bytes: $body_bytes
  idle_timeout_ms: 15000
memory:
  limit_mb: $limit_mb"
usual_build=$build
usual_descriptors=$(ulimit -Sn)
build=$release
ulimit -Sn "$descriptors"
start_entries entry-1-a
ulimit -Sn "$usual_descriptors"
build=$usual_build
write_sheet "$work/sheet.csv" 1 2
sed -i '/^end/d' "$work/sheet.csv"
printf '%s\n' 'service,upload-app,,,,,,casa-1,,,,,,,,' 'end,,,,,,6,,,,,,,,,' \
  >> "$work/sheet.csv"
check "the sheet is applied" apply_sheet "$work/sheet.csv"
pid=$(cat "$work/entry-1-a.pid")

# upload FILE: prints the status of an upload in a connection of its own.
upload () {
  curl -s -o "$work/upload.out" -w '%{http_code}' --max-time 10 -X POST \
    "$(fleet_callers_url entry-1-a)/v1/services/upload-app/items" -H 'Expect:' \
    -H "Authorization: Bearer $credential" --data-binary "@$1" || true
}
serves_upload () {
  local status
  status=$(upload "$1")
  [[ "$status" = 2* ]] || {
    echo "status $status: $(head -c 300 "$work/upload.out" 2>/dev/null)" >&2
    return 1
  }
}
# status_kb FIELD: prints a size from the status of the process, in kB.
status_kb () {
  awk -v field="$1:" '$1 == field { print $2 }' "/proc/$pid/status"
}
count_descriptors () {
  find "/proc/$pid/fd" -mindepth 1 | wc -l
}

echo '{"item":"small"}' > "$work/small"
head -c "$body_bytes" /dev/zero | tr '\0' b > "$work/large"
check "a small upload is served" wait_for 30 serves_upload "$work/small"
check "a body of full legal size is served" serves_upload "$work/large"
check "a generation is served" wait_for 30 serves_generation entry-1-a
bound_kb=$(($(status_kb VmRSS) + limit_mb * 1024))

holds_connections () {
  ! has_load_ended "$1"
}

# run_crowd LOAD CLIENTS SOURCES: holds a crowd, and checks meanwhile and after.
run_crowd () {
  local load=$1 name=crowd-$1-$3 i
  # Resets the peak of the resident memory.
  echo 5 > "/proc/$pid/clear_refs"
  fleet_spawn "$name" "$build/tests/standin/abusive-clients" \
    --port "$(cat "$work/entry-1-a.callers")" --clients "$2" --sources "$3" \
    --body-bytes "$body_bytes" --spread-ms 1500 --settle-ms 4000 \
    --hold-ms 60000 --path /v1/services/upload-app/items \
    --field 'Host: host' --field "Authorization: Bearer $credential" "$load"
  check "$load: the crowd holds its connections" \
    wait_for 30 grep -q '^holding' "$work/$name.out"
  for i in 1 2 3; do
    check "$load: an ordinary request is served ($i)" \
      serves_upload "$work/small"
  done
  check "$load: a generation is served" serves_generation entry-1-a
  # Bodies that wait, and connections that made no progress, have ended then.
  sleep 4
  check "$load: $(count_descriptors) descriptors of $descriptors" \
    test "$(count_descriptors)" -le $((descriptors - free_descriptors))
  check "$load: an ordinary request is served in the end" \
    serves_upload "$work/small"
  check "$load: the crowd still holds its connections" holds_connections "$name"
  kill "$(cat "$work/$name.pid")"
  check "$load: the crowd ends" wait_for 10 has_load_ended "$name"
  check "$load: the process is alive" kill -0 "$pid"
  check "$load: resident memory peaked at $(status_kb VmHWM) of $bound_kb kB" \
    test "$(status_kb VmHWM)" -le "$bound_kb"
  check "$load: an ordinary request is served afterwards" \
    wait_for 10 serves_upload "$work/small"
  echo "$load: peak $(status_kb VmHWM) kB of $bound_kb kB"
}

for sources in 1 20; do
  run_crowd bodies-whole 100 "$sources"
  run_crowd bodies-pieces 100 "$sources"
  run_crowd chunks-tiny 40 "$sources"
  run_crowd chunks-large 100 "$sources"
done
for load in chunk-extension trailers over-announced over-64-bit over-sent \
  slow-head pipelined-heads pipelined-bodies unread; do
  run_crowd "$load" 100 20
done
run_crowd silent 400 20

check "a body of full legal size is served after the crowds" \
  wait_for 10 serves_upload "$work/large"
check "the process started once" test "$(grep -c 'event=started' \
  "$work/entry-1-a.log")" = 1
