#!/usr/bin/env bash
# Demonstrates session consistency: a caller writes through one proxy and reads
# its own write through another.
set -eu
cd "$(dirname "$0")/.."
. tests/fleet.sh
DIR=$(mktemp -d /tmp/cassiabay.XXXXXX)
trap 'fleet_stop' EXIT
DELAY_MS=1
fleet_init "$DIR" imena
fleet_start 2
fleet_await_primaries
echo "applied: $(cat "$DIR/apply.log")"
"$BUILD/packages/ctl/cassiabay" status
id=$(fleet_request_id)
body="{\"database\": \"orders\", \"kind\": \"place-order\", \"request_id\": \"$id\", \"statements\": [{\"text\": \"INSERT INTO orders (key, value) VALUES (\$1, \$2)\", \"args\": [\"order-1\", \"12 prizes\"]}]}"
fleet_call 0 /v1/run "$body"
echo "write through vm-1: $FLEET_ANSWER"
[[ $FLEET_ANSWER == *'"outcome":"done"'* ]]
read='{"database": "orders", "kind": "bin-lookup", "statements": [{"text": "SELECT key, value FROM orders WHERE key = $1", "args": ["order-1"]}]}'
fleet_call 1 /v1/run "$read"
echo "read through vm-2:  $FLEET_ANSWER"
[[ $FLEET_ANSWER == *'12 prizes'* ]]
fleet_call 1 /v1/run "$body"
echo "same request again: $FLEET_ANSWER"
[[ $FLEET_ANSWER == *'"outcome":"done"'* ]]
echo "demo: the caller read its own write through another proxy"
