#!/usr/bin/env bash
# Measures nine proxies and three database groups of three instances with the
# network delays of the deployment: behaviour under faults and load, and the cost
# of the control traffic by number of nodes.  Prints name=value lines.
# DEPLOYMENT=imena|suva  ROUNDS=rounds of each fault  NODES="3 6 9 ..."
set -u
cd "$(dirname "$0")/.."
. tests/fleet.sh
DEPLOYMENT=${DEPLOYMENT:-imena}
ROUNDS=${ROUNDS:-10}
NODES=${NODES-3 6 9 18 36 72 144}
RATE=${RATE:-150}
FLEET_BASE=${FLEET_BASE_BENCH:-25000}
DIR=$(mktemp -d /tmp/cassiabay.XXXXXX)
trap 'fleet_stop; rm -rf "$DIR"' EXIT
LOAD=$BUILD/tests/load
CTL=$BUILD/packages/ctl/cassiabay

targets () {
  local k
  for ((k = 0; k < $1; k++)); do printf -- '--target 127.0.0.1:%d ' $((FLEET_BASE + k)); done
}
primary_of () {
  local i
  for i in 1 2 3; do
    case $(fleet_control "role $1-$i") in 2\ *) echo "$1-$i"; return ;; esac
  done
}
metric () { # VM metric
  curl -s "http://127.0.0.1:$((FLEET_BASE + 300 + $1))/metrics" \
    | awk -v m="cassiabay_$2" '$1 == m { print $2 }'
}

# Each kind of fault hits the primary of the first database ROUNDS times.
SERVICE_US=${SERVICE_US:-2000}
CALLER_THREADS=128
fleet_init "$DIR/fleet" "$DEPLOYMENT"
fleet_start 9 || exit 1
fleet_await_primaries
sleep 2
ALL=$(for d in "${DATABASES[@]}"; do printf '%s-1,%s-2,%s-3,' "$d" "$d" "$d"; done)
db=${DATABASES[0]}
for fault in kill isolate pause; do
  undo=$(case $fault in kill) echo restart ;; isolate) echo heal ;; pause) echo resume ;; esac)
  : > "$DIR/gaps"
  for ((r = 0; r < ROUNDS; r++)); do
    p=$(primary_of "$db")
    (sleep 1; fleet_control "$fault $p" > /dev/null) &
    # shellcheck disable=SC2046
    $LOAD --deployment "$DEPLOYMENT" --rate "$RATE" --seconds 9 --workers 96 \
      $(targets 9) --database "$db" --control "127.0.0.1:$CONTROL_PORT" \
      --instances "${ALL%,}" > "$DIR/out.$fault.$r"
    fleet_control "$undo $p" > /dev/null
    grep '^write_gap_ms=' "$DIR/out.$fault.$r" | cut -d= -f2 >> "$DIR/gaps"
    sleep 3
    # After three changes of primary within two minutes, further failovers of a
    # group are delayed.  Restarting the fleet after every second round keeps the
    # rounds independent.
    if (((r + 1) % 2 == 0 && r + 1 < ROUNDS)) || ((r + 1 == ROUNDS)); then
      fleet_stop
      fleet_start 9 || exit 1
      fleet_await_primaries
      sleep 2
    fi
  done
  sort -n "$DIR/gaps" | awk -v f="$fault" '{ v[NR] = $1 } END {
    printf "failover.%s.rounds=%d\nfailover.%s.gap_median_ms=%.0f\nfailover.%s.gap_worst_ms=%.0f\n",
      f, NR, f, v[int ((NR + 1) / 2)], f, v[NR] }'
done
cat "$DIR"/out.* | awk -F= '
  /^(lost|doubled|wrong|writes_checked|all.stale|all.unknown|all.no_answer|all.sent)=/ { s[$1] += $2 }
  END { for (n in s) printf "faults.%s=%d\n", n, s[n] }' | sort

# In normal operation: share of reads served by replicas, latency, and time until
# an applied file is in force on all proxies.
# shellcheck disable=SC2046
$LOAD --deployment "$DEPLOYMENT" --rate "$RATE" --seconds 10 --workers 96 \
  $(targets 9) --database "${DATABASES[0]}" --database "${DATABASES[1]}" \
  --database "${DATABASES[2]}" > "$DIR/healthy"
grep -E '^(all|[a-z-]+)\.(in_time|p50_ms|p99_ms)=' "$DIR/healthy" | sed 's/^/healthy./'
r=0; p=0
for ((k = 0; k < 9; k++)); do
  r=$((r + $(metric $k reads_replica_total)))
  p=$((p + $(metric $k reads_primary_total)))
done
awk -v r=$r -v p=$p 'BEGIN { printf "healthy.replica_share=%.4f\n", r / (r + p) }'
for n in 1 2 3; do
  sed "s/max_age_ms: 0/max_age_ms: $n/" "$DIR/fleet/kinds.yaml" > "$DIR/fleet/next.yaml"
  mkdir -p "$DIR/apply" && cp "$DIR/fleet/next.yaml" "$DIR/apply/kinds.yaml"
  $CTL apply --wait "$DIR/apply/kinds.yaml" | sed -n 's/.*proxies after \([0-9.]*\) s/apply.in_force_s=\1/p'
done

# Number of homes that move to another proxy when a VM is lost, of 9 instances.
# The home of an instance is the proxy that owns its connection pool.
homes () {
  local k
  for ((k = 0; k < 9; k++)); do
    curl -s --max-time 2 "http://127.0.0.1:$((FLEET_BASE + 300 + k))/v1/status" \
      | grep -o '"name":"[a-z]*-[0-9]","home":"active"' | sed "s/$/ $k/"
  done | sort
}
homes > "$DIR/before"
kill -KILL "${PROXY_PIDS[4]}"
sleep 5
homes > "$DIR/after"
owned=$(grep -c ' 4$' "$DIR/before")
moved=$(comm -13 "$DIR/before" "$DIR/after" | wc -l)
echo "vm_lost.homes_owned=$owned"
echo "vm_lost.homes_moved=$moved"
echo "vm_lost.homes_total=$(wc -l < "$DIR/after")"
fleet_stop

# Cost of the control traffic without callers, by number of nodes.
for n in $NODES; do
  CALLER_THREADS=4 LOG_LEVEL=warning
  fleet_start "$n" || exit 1
  fleet_await_primaries
  sleep 4
  ticks=0; sent=0; calls=0
  for ((k = 0; k < n; k++)); do
    ticks=$((ticks - $(awk '{ print $14 + $15 }' "/proc/${PROXY_PIDS[$k]}/stat")))
    sent=$((sent - $(metric $k control_bytes_sent_total)))
    calls=$((calls - $(metric $k store_calls_total)))
  done
  sleep 10
  rss=0; asked=0
  for ((k = 0; k < n; k++)); do
    ticks=$((ticks + $(awk '{ print $14 + $15 }' "/proc/${PROXY_PIDS[$k]}/stat")))
    sent=$((sent + $(metric $k control_bytes_sent_total)))
    calls=$((calls + $(metric $k store_calls_total)))
    rss=$((rss + $(awk '/VmRSS/ { print $2 }' "/proc/${PROXY_PIDS[$k]}/status")))
  done
  awk -v n="$n" -v t="$ticks" -v s="$sent" -v r="$rss" -v c="$calls" 'BEGIN {
    printf "control.%d.cpu_percent_of_core=%.3f\n", n, t / 10.0 / n
    printf "control.%d.rss_mb=%.1f\n", n, r / 1024.0 / n
    printf "control.%d.bytes_per_s=%.0f\n", n, s / 10.0 / n
    printf "control.%d.store_calls_per_s_all=%.2f\n", n, c / 10.0 }'
  fleet_stop
done
