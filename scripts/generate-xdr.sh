#!/usr/bin/env bash
# Generates packages/peer/src/generated from packages/peer/peer.x with rpcgen.
set -euo pipefail
cd "$(dirname "$0")/../packages/peer"
mkdir -p src/generated
# rpcgen refuses to overwrite or append to an existing file.
rm -f src/generated/peer_xdr.h src/generated/peer_xdr.c
rpcgen -N -h -o src/generated/peer_xdr.h peer.x
rpcgen -N -c -o src/generated/peer_xdr.c peer.x
sed -i 's/#include "peer.h"/#include "peer_xdr.h"/' src/generated/peer_xdr.c
