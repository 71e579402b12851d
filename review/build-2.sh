#!/usr/bin/env bash
# Builds what the scripts under review/6 to review/10 start: the project's
# stand-ins, and the program of each case, into build/review-2.  The shipped
# programs come from the build of the deploy file.  Arguments: only these cases.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=build/review-2
mkdir -p "$dir"
[ -f "$dir/build.ninja" ] \
  || cmake -S . -B "$dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > "$dir/configure.log"
cmake --build "$dir" --target platform_standin -- --quiet
includes=(-Ireview/rig-2 -Iplatform -Iplatform/include -Iplatform/standin)
for folder in packages/*/include; do
  includes+=("-I$folder")
done
mapfile -t archives < <(find "$dir/packages" "$dir/platform" -name '*.a' | sort)
packages=(libevent libevent_openssl openssl jansson libxxhash libtirpc yaml-0.1)
mapfile -t flags < <(pkg-config --cflags "${packages[@]}" | xargs -n 1)
mapfile -t libraries < <(pkg-config --libs "${packages[@]}" | xargs -n 1)
[ $# -gt 0 ] || set -- 6 7 8 9 10
for number; do
  [ -f "review/$number/play.c" ] || continue
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wno-missing-field-initializers \
    -D_GNU_SOURCE "${flags[@]}" "${includes[@]}" "review/$number/play.c" \
    review/rig-2/*.c -o "$dir/case-$number" \
    -Wl,--start-group "${archives[@]}" -Wl,--end-group "${libraries[@]}" \
    -lhttp_parser -lm
done
