#!/usr/bin/env bash
# Measures one proxy against a simulated store and upstreams without delays:
# added latency, processor time per request, memory per connection.  Prints
# name=value lines.
set -u
cd "$(dirname "$0")/.."
. tests/fleet.sh
DIR=$(mktemp -d /tmp/cassiabay.XXXXXX)
trap 'fleet_stop; rm -rf "$DIR"' EXIT
LOAD=$BUILD/tests/load
SECONDS_EACH=${SECONDS_EACH:-5}
SERVICE_US=0
CALLER_THREADS=4600
PROXY_PREFIX=${PROXY_PREFIX-taskset -c 0,1}
DELAY_MS=0
OPEN_MS=0
fleet_init "$DIR" imena
OPEN_MS=0 fleet_write_upstreams
fleet_start 1 || exit 1
sleep 3
PROXY=${PROXY_PIDS[0]}
TARGET="--target 127.0.0.1:$FLEET_BASE --database bins"

# lines PREFIX PATTERN: prints the result lines whose names match PATTERN, with
# PREFIX put before each name.
lines () { grep -E "^($2)=" | sed "s/^/$1./"; }
cpu_ticks () { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
rss_mb () { awk '/VmRSS/ { print int ($2 / 1024) }' "/proc/$1/status"; }
threads () { awk '/Threads/ { print $2 }' "/proc/$1/status"; }

echo "idle.rss_mb=$(rss_mb "$PROXY")"
# Direct writes are sent to the primary of bins.
for i in 0 1 2; do
  [ "$(fleet_control "role bins-$((i + 1))" | cut -d' ' -f1)" = 2 ] \
    && PORT=$(fleet_instance_port 0 $i)
done
DIRECT="hostaddr=127.0.0.1 port=$PORT user=x dbname=x sslmode=disable gssencmode=disable"
for kind in 0 2; do
  name=$([ $kind = 0 ] && echo read || echo write)
  $LOAD --only $kind --rate 200 --seconds "$SECONDS_EACH" --workers 4 \
    --direct "$DIRECT" > "$DIR/direct"
  $LOAD --only $kind --rate 200 --seconds "$SECONDS_EACH" --workers 4 \
    $TARGET > "$DIR/proxied"
  lines "$name.direct" "all.p50_ms|all.p99_ms" < "$DIR/direct"
  lines "$name.proxied" "all.p50_ms|all.p99_ms" < "$DIR/proxied"
  awk -F= -v n="$name" '/^all.p50_ms/ { v[FILENAME] = $2 } END { for (f in v)
    if (f ~ /direct/) d = v[f]; else p = v[f];
    printf "%s.added_p50_ms=%.3f\n%s.ratio_p50=%.2f\n", n, p - d, n, p / d }' \
    "$DIR/direct" "$DIR/proxied"
done
for rate in 400 1000 2000 4000; do
  before=$(cpu_ticks "$PROXY")
  $LOAD --rate $rate --seconds "$SECONDS_EACH" --workers 64 $TARGET \
    > "$DIR/out"
  after=$(cpu_ticks "$PROXY")
  lines "mix.$rate" "all.done_per_s|all.p50_ms|all.p99_ms|all.in_time" \
    < "$DIR/out"
  awk -F= -v ticks=$((after - before)) -v s="$SECONDS_EACH" -v r=$rate \
    '/^all.done_per_s/ { printf "mix.%d.cpu_us_per_request=%.0f\n", r,
      ticks * 10000 / ($2 * s) }' "$DIR/out"
done
curl -s "http://127.0.0.1:$((FLEET_BASE + 300))/metrics" \
  | awk '/^cassiabay_reads_replica_total/ { r = $2 }
         /^cassiabay_reads_primary_total/ { p = $2 }
         END { printf "reads.replica_share=%.4f\n", r / (r + p) }'
for n in 100 1000 4490; do
  $LOAD --rate $((n / 2)) --seconds 4 --workers $n --only 0 $TARGET \
    > "$DIR/out" &
  LOAD_PID=$!
  sleep 3.5
  echo "connections.$n.rss_mb=$(rss_mb "$PROXY")"
  echo "connections.$n.threads=$(threads "$PROXY")"
  wait $LOAD_PID
  lines "connections.$n" "all.in_time" < "$DIR/out"
done
