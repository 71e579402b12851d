#!/usr/bin/env bash
# Installs the missing Debian packages of scripts/packages.list.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null \
    | grep -q 'install ok installed' || missing+=("$name")
done < scripts/packages.list
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
  --no-install-recommends "${missing[@]}"
