#!/usr/bin/env bash
# Compares the system with baselines that each lack one design decision, at 0.5
# to 5 times the capacity of the execution slots, and at 0.8 times under faults.
# Prints a Markdown table.  CSV files and plots of the runs are written to the
# directory OUT when it is set.
set -u
cd "$(dirname "$0")/.."
. tests/fleet.sh
DEPLOYMENT=${DEPLOYMENT:-imena}
FLEET_BASE=${FLEET_BASE_EXPERIMENTS:-31000}
POLICIES=${POLICIES:-none reads_primary round_robin no_admission unlimited_retries ack_primary}
LOADS=${LOADS:-0.5 1 2 5}
FAULTS=${FAULTS-lag_one lag_both store_down failover}
SERVICE_US=40000
CALLER_THREADS=720
DIR=$(mktemp -d /tmp/cassiabay.XXXXXX)
trap 'fleet_stop; rm -rf "$DIR"' EXIT
LOAD=$BUILD/tests/load
fleet_init "$DIR/fleet" "$DEPLOYMENT"
ALL=$(for d in "${DATABASES[@]}"; do printf '%s-1,%s-2,%s-3,' "$d" "$d" "$d"; done)
db=${DATABASES[0]}
# Capacity of the slots of one database's three instances, in statements per
# second.
CAPACITY=$((SLOTS * 3 * 1000000 / SERVICE_US))
KINDS=$([ "$DEPLOYMENT" = imena ] && echo "bin-lookup order-status place-order" || echo "pickup-lookup ticket-status open-intake")

reads () { # replica|primary
  local k s=0
  for k in 0 1 2; do
    s=$((s + $(curl -s "http://127.0.0.1:$((FLEET_BASE + 300 + k))/metrics" \
      | awk -v m="cassiabay_reads_$1_total" '$1 == m { print $2 }')))
  done
  echo $s
}
primary_of () {
  local i
  for i in 1 2 3; do
    case $(fleet_control "role $1-$i") in 2\ *) echo "$1-$i"; return ;; esac
  done
}

# run POLICY LOAD CONDITION SECONDS
run () {
  local rate r0 p0 r1 p1 out=$DIR/out
  rate=$(awk -v c=$CAPACITY -v l="$2" 'BEGIN { print c * l }')
  r0=$(reads replica); p0=$(reads primary)
  $LOAD --deployment "$DEPLOYMENT" --rate "$rate" --seconds "$4" \
    --workers 700 --target 127.0.0.1:$FLEET_BASE \
    --target 127.0.0.1:$((FLEET_BASE + 1)) \
    --target 127.0.0.1:$((FLEET_BASE + 2)) --database "$db" \
    --control 127.0.0.1:$CONTROL_PORT --instances "${ALL%,}" \
    ${OUT:+--csv "$OUT/$DEPLOYMENT-$1-$2-$3.csv" --svg "$OUT/$DEPLOYMENT-$1-$2-$3.svg"} \
    > "$out"
  r1=$(reads replica); p1=$(reads primary)
  awk -F= -v policy="$1" -v load="$2" -v condition="$3" -v kinds="$KINDS" \
    -v r=$((r1 - r0)) -v p=$((p1 - p0)) '{ v[$1] = $2 } END {
      n = split(kinds, k, " ")
      printf "| %s | %s | %s |", condition, load, policy
      for (i = 1; i <= n; i++) printf " %.3f |", v[k[i] ".in_time"]
      printf " %.2f | %.0f | %d | %d | %d |\n", r + p ? r / (r + p) : 0,
        v["write_gap_ms"], v["lost"], v["all.stale"], v["all.unknown"] }' "$out"
}

printf '| condition | load | policy |'
for k in $KINDS; do printf ' %s in time |' "$k"; done
printf ' replica share | write gap ms | lost | stale | unknown |\n'
printf '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n'
for POLICY in $POLICIES; do
  fleet_start 3 || exit 1
  fleet_await_primaries
  sleep 2
  run "$POLICY" 0.2 warm-up 2 > /dev/null
  for load in $LOADS; do run "$POLICY" "$load" healthy 5; done
  sleep 2
  p=$(primary_of "$db")
  others=$(for i in 1 2 3; do [ "$db-$i" = "$p" ] || echo "$db-$i"; done)
  for fault in $FAULTS; do
    case $fault in
      lag_one) fleet_control "lag $(head -1 <<< "$others") 20000" > /dev/null ;;
      lag_both) for o in $others; do fleet_control "lag $o 20000" > /dev/null; done ;;
      store_down) curl -s -X POST "$STORE/control" -d '{"down": true}' > /dev/null ;;
      failover) (sleep 2; fleet_control "kill $p" > /dev/null) & ;;
    esac
    run "$POLICY" 0.8 "$fault" 8
    for o in $others; do fleet_control "lag $o 0" > /dev/null; done
    curl -s -X POST "$STORE/control" -d '{"down": false}' > /dev/null
    sleep 2
  done
  fleet_stop
done
