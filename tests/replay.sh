#!/usr/bin/env bash
# Replays the one-hour trace of DEPLOYMENT against six proxies, at SPEED times
# the recorded rate.
set -u
cd "$(dirname "$0")/.."
. tests/fleet.sh
FLEET_BASE=${FLEET_BASE_REPLAY:-30000}
DEPLOYMENT=${DEPLOYMENT:-imena}
DIR=$(mktemp -d /tmp/cassiabay.XXXXXX)
trap 'fleet_stop; rm -rf "$DIR"' EXIT
fleet_init "$DIR" "$DEPLOYMENT"
fleet_start 6 && fleet_await_primaries || exit 1
sleep 1
targets=()
for k in 0 1 2 3 4 5; do targets+=(--target "127.0.0.1:$((FLEET_BASE + k))"); done
"$BUILD/packages/ctl/cassiabay" replay "${targets[@]}" --speed "${SPEED:-240}" \
  "tests/traces/$DEPLOYMENT.jsonl" || exit 1
echo "1 passed, 0 failed"
