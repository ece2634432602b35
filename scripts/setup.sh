#!/usr/bin/env bash
# Installs the missing Debian 12 packages and builds into build/.
set -euo pipefail
here=$(cd "$(dirname "$0")/.." && pwd)
pkgs="libev-dev libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev libglib2.0-dev check libtomlplusplus-dev libxxhash-dev libcjson-dev pkg-config cmake g++ python3"
missing=$(for p in $pkgs; do dpkg -s "$p" >/dev/null 2>&1 || echo "$p"; done)
if [ -n "$missing" ]; then
  apt-get update -qq
  apt-get install -y -qq $missing
fi
cmake -S "$here" -B "$here/build" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$here/build" -j "$(nproc)"
