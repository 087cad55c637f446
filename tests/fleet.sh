# Starts a small fleet on loopback: a simulated store of the platform, simulated
# database groups, and real proxies.  Sourced by demo.sh, e2e.sh, replay.sh and
# the scripts in bench.
#
# fleet_init DIR DEPLOYMENT   writes keys, declarations and upstreams to DIR
# fleet_start N               starts the simulated services and N proxies
# fleet_stop                  stops the processes it started, by process id

FLEET_BASE=${FLEET_BASE:-18000}
BUILD=${BUILD:-build}
FLEET_PIDS=()

fleet_init () {
  FLEET_DIR=$1
  FLEET_DEPLOYMENT=$2
  mkdir -p "$FLEET_DIR"
  case $FLEET_DEPLOYMENT in
    imena)
      CENTRES=(kigali-a musanze-a huye-a); REGIONS=(kigali musanze huye)
      DATABASES=(bins orders tallies); SLOTS=2; CONNECTIONS=16
      OPEN_MS=10; DELAY_MS=${DELAY_MS-8} ;;
    suva)
      CENTRES=(suva labasa lakeba); REGIONS=(viti-levu vanua-levu lau)
      DATABASES=(tickets deposits benches); SLOTS=5; CONNECTIONS=55
      OPEN_MS=30; DELAY_MS=${DELAY_MS-20} ;;
  esac
  STORE_PORT=$((FLEET_BASE + 900))
  CONTROL_PORT=$((FLEET_BASE + 901))
  STORE=http://127.0.0.1:$STORE_PORT
  export CASSIABAY_STORE=$STORE
  fleet_write_upstreams
  fleet_write_declarations
  "$BUILD/packages/ctl/cassiabay" keygen > "$FLEET_DIR/keys"
  awk '/session_key/ { print $2 }' "$FLEET_DIR/keys" > "$FLEET_DIR/session.key"
  awk '/peer_public/ { print $2 }' "$FLEET_DIR/keys" > "$FLEET_DIR/peer.pub"
  awk '/peer_secret/ { print $2 }' "$FLEET_DIR/keys" > "$FLEET_DIR/peer.key"
}

# fleet_instance_port D I: prints the port of instance I of database D.
fleet_instance_port () { echo $((FLEET_BASE + 500 + $1 * 10 + $2)); }

fleet_write_upstreams () {
  local d i sep_d="" sep_i out=$FLEET_DIR/upstream.json
  printf '{"control": "127.0.0.1:%d", "service_us": %d, "open_ms": %d, "delay_ms": %d, "groups": [' \
    "$CONTROL_PORT" "${SERVICE_US:-1000}" "$OPEN_MS" "$DELAY_MS" > "$out"
  for d in 0 1 2; do
    printf '%s{"slots": %d, "connections": %d, "instances": [' \
      "$sep_d" "$SLOTS" "$CONNECTIONS" >> "$out"
    sep_d=", "; sep_i=""
    for i in 0 1 2; do
      printf '%s{"name": "%s-%d", "address": "127.0.0.1:%d", "data_centre": "%s"}' \
        "$sep_i" "${DATABASES[$d]}" $((i + 1)) \
        "$(fleet_instance_port $d $i)" "${CENTRES[$i]}" >> "$out"
      sep_i=", "
    done
    printf ']}' >> "$out"
  done
  printf ']}\n' >> "$out"
}

fleet_write_declarations () {
  local d i
  {
    echo "version: 1"
    echo "data_centres:"
    for i in 0 1 2; do
      echo "  - name: ${CENTRES[$i]}"
      echo "    region: ${REGIONS[$i]}"
    done
    echo "databases:"
    for d in 0 1 2; do
      echo "  - name: ${DATABASES[$d]}"
      echo "    slots: $SLOTS"
      echo "    connections: $CONNECTIONS"
      echo "    instances:"
      for i in 0 1 2; do
        echo "      - name: ${DATABASES[$d]}-$((i + 1))"
        echo "        address: 127.0.0.1:$(fleet_instance_port $d $i)"
        echo "        data_centre: ${CENTRES[$i]}"
      done
    done
  } > "$FLEET_DIR/databases.yaml"
  cp "examples/$FLEET_DEPLOYMENT-kinds.yaml" "$FLEET_DIR/kinds.yaml"
}

# fleet_write_proxy K: writes the settings of proxy K (from 0).
fleet_write_proxy () {
  local k=$1 s centre=$(($1 % 3))
  {
    cat <<SETTINGS
version: 1
vm: vm-$((k + 1))
data_centre: ${CENTRES[$centre]}
region: ${REGIONS[$centre]}
callers:
  listen: 127.0.0.1:$((FLEET_BASE + k))
  threads: ${CALLER_THREADS:-64}${EXTRA_CALLERS:-}
operators:
  listen: 127.0.0.1:$((FLEET_BASE + 300 + k))
peers:
  listen: 127.0.0.1:$((FLEET_BASE + 600 + k))
  public_key_file: $FLEET_DIR/peer.pub
  secret_key_file: $FLEET_DIR/peer.key
  seeds:
SETTINGS
    for s in 0 1 2; do
      echo "    - {vm: vm-$((s + 1)), data_centre: ${CENTRES[$s]}, region: ${REGIONS[$s]}, peer: '127.0.0.1:$((FLEET_BASE + 600 + s))', admin: '127.0.0.1:$((FLEET_BASE + 300 + s))'}"
    done
    cat <<SETTINGS
store:
  endpoints: ["$STORE"]
session:
  key_file: $FLEET_DIR/session.key
upstream:
  sslmode: disable
shutdown:
  notice_ms: 500
experiment:
  policy: ${POLICY:-none}
  peer_delay_ms: ${PEER_DELAY_MS:-$DELAY_MS}
log:
  level: ${LOG_LEVEL:-message}
SETTINGS
  } > "$FLEET_DIR/vm-$((k + 1)).yaml"
}

# fleet_spawn NAME COMMAND...: starts a process in the background, appends its
# id to FLEET_PIDS and sets FLEET_PID to it.
fleet_spawn () {
  local name=$1
  shift
  "$@" > "$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PID=$!
  FLEET_PIDS+=("$FLEET_PID")
}

fleet_start_proxy () {
  fleet_write_proxy "$1"
  fleet_spawn "vm-$(($1 + 1))" ${PROXY_PREFIX:-} "$BUILD/packages/proxy/cassiabayd" \
    --config "$FLEET_DIR/vm-$(($1 + 1)).yaml"
  PROXY_PIDS[$1]=$FLEET_PID
}

# fleet_list_vms N: writes N proxies to the platform's VM list in the store.
fleet_list_vms () {
  local k key value puts="" sep=""
  for ((k = 0; k < $1; k++)); do
    key=$(printf '/platform/vms/vm-%d' $((k + 1)) | base64 -w0)
    value=$(printf '{"id": "vm-%d", "data_centre": "%s", "region": "%s", "peer": "127.0.0.1:%d", "admin": "127.0.0.1:%d", "state": "live"}' \
      $((k + 1)) "${CENTRES[$((k % 3))]}" "${REGIONS[$((k % 3))]}" \
      $((FLEET_BASE + 600 + k)) $((FLEET_BASE + 300 + k)) | base64 -w0)
    puts="$puts$sep{\"requestPut\": {\"key\": \"$key\", \"value\": \"$value\"}}"
    sep=", "
  done
  curl -sS -X POST "$STORE/v3/kv/txn" -d "{\"success\": [$puts]}" > /dev/null
}

# fleet_await URL [N]: waits until URL returns 200, for at most N tenths of a
# second (default 100).
fleet_await () {
  local n
  for ((n = 0; n < ${2:-100}; n++)); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "$1")" = 200 ] && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

fleet_start () {
  local k
  FLEET_N=$1
  fleet_spawn store "$BUILD/tests/fake-store" "127.0.0.1:$STORE_PORT" 64
  fleet_spawn upstream "$BUILD/tests/fake-upstream" "$FLEET_DIR/upstream.json"
  sleep 0.3
  fleet_list_vms "$FLEET_N"
  for ((k = 0; k < FLEET_N; k++)); do fleet_start_proxy $k; done
  "$BUILD/packages/ctl/cassiabay" apply "$FLEET_DIR/databases.yaml" \
    "$FLEET_DIR/kinds.yaml" > "$FLEET_DIR/apply.log" || return 1
  for ((k = 0; k < FLEET_N; k++)); do
    fleet_await "http://127.0.0.1:$((FLEET_BASE + 300 + k))/readyz" || return 1
  done
}

# fleet_control COMMAND...: sends one command to the control port of the
# simulated upstream and prints the reply.
fleet_control () {
  exec 9<> "/dev/tcp/127.0.0.1/$CONTROL_PORT"
  printf '%s\n' "$*" >&9
  cat <&9
  exec 9>&-
}

# Waits until every database has a primary and at least one of its two replicas
# follows it, which makes a majority.
fleet_await_primaries () {
  local n d i has_primary replicas ready
  for ((n = 0; n < 200; n++)); do
    ready=0
    for d in "${DATABASES[@]}"; do
      has_primary=0; replicas=0
      for i in 1 2 3; do
        case $(fleet_control "role $d-$i") in
          2\ *) has_primary=1 ;;
          1\ *) replicas=$((replicas + 1)) ;;
        esac
      done
      [ $has_primary = 1 ] && [ $replicas -ge 1 ] && ready=$((ready + 1))
    done
    [ $ready = ${#DATABASES[@]} ] && return 0
    sleep 0.1
  done
  return 1
}

fleet_stop () {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2> /dev/null; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" 2> /dev/null; done
  FLEET_PIDS=()
}

# Prints a new request id (UUID version 7).
fleet_request_id () {
  local ms hex
  ms=$(printf '%012x' "$(date +%s%3N)")
  hex=$(od -An -N9 -tx1 /dev/urandom | tr -d ' \n')
  echo "${ms:0:8}-${ms:8:4}-7${hex:0:3}-8${hex:3:3}-${hex:6:12}"
}

# fleet_call K PATH BODY: sends BODY to PATH of proxy K.  Stores the session in
# FLEET_SESSION and the reply in FLEET_ANSWER.
fleet_call () {
  local k=$1 path=$2 body=$3 headers=$FLEET_DIR/headers
  FLEET_ANSWER=$(printf '%s' "$body" | curl -sS -D "$headers" \
    -H "Cassiabay-Session: ${FLEET_SESSION:-}" -H 'Expect:' \
    -X POST "http://127.0.0.1:$((FLEET_BASE + k))$path" --data-binary @-)
  FLEET_SESSION=$(tr -d '\r' < "$headers" \
    | awk 'tolower ($1) == "cassiabay-session:" { print $2 }')
}
