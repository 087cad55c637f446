#!/usr/bin/env bash
# End-to-end test with real processes on loopback, for behaviour that tests in
# virtual time cannot cover.  The last line is "N passed, N failed".
set -u
cd "$(dirname "$0")/.."
. tests/fleet.sh
FLEET_BASE=${FLEET_BASE_E2E:-21000}
DIR=$(mktemp -d /tmp/cassiabay.XXXXXX)
trap 'fleet_stop; rm -rf "$DIR"' EXIT
CTL=$BUILD/packages/ctl/cassiabay
LOAD=$BUILD/tests/load
PASSED=0
FAILED=0
FLEET_SESSION=
INSTANCES=bins-1,bins-2,bins-3,orders-1,orders-2,orders-3,tallies-1,tallies-2,tallies-3

# check NAME ACTUAL PATTERN: passes when ACTUAL matches the bash pattern.
check () {
  # shellcheck disable=SC2053
  if [[ $2 == $3 ]]; then
    PASSED=$((PASSED + 1))
  else
    FAILED=$((FAILED + 1))
    printf 'FAILED %s\n  got      %s\n  expected %s\n' "$1" "$2" "$3"
  fi
}

body () { # database kind request_id sql args
  printf '{"database": "%s", "kind": "%s", "request_id": "%s", "statements": [{"text": "%s", "args": [%s]}]}' "$@"
}
WRITE='UPDATE records SET value = $2 WHERE key = $1'
READ='SELECT key, value FROM records WHERE key = $1'
status_of () { curl -s -o /dev/null -w '%{http_code}' "$@"; }

DELAY_MS=1
fleet_init "$DIR" imena
fleet_start 4 || { echo "the fleet did not start"; exit 1; }
fleet_await_primaries || { echo "no primaries"; exit 1; }
sleep 1

# Caller interface.
fleet_call 0 /v1/run "$(body bins place-order "$(fleet_request_id)" "$WRITE" '"a", "1"')"
check "a write" "$FLEET_ANSWER" '*"outcome":"done"*'
for k in 1 2 3; do
  fleet_call $k /v1/run "$(body bins bin-lookup "" "$READ" '"a"')"
  check "own write through proxy $k" "$FLEET_ANSWER" '*[["a","1"]]*'
done
good=$FLEET_SESSION
# The token is random, so the replacement must differ from the character there.
other=x
if [ "${good:20:1}" = x ]; then other=y; fi
FLEET_SESSION=${good:0:20}$other${good:21}
fleet_call 1 /v1/run "$(body bins bin-lookup "" "$READ" '"a"')"
check "a forged token" "$FLEET_ANSWER" '*"not_run","reason":"token_forged"*'
FLEET_SESSION='%%%'
fleet_call 1 /v1/run "$(body bins bin-lookup "" "$READ" '"a"')"
check "a damaged token" "$FLEET_ANSWER" '*token_malformed*'
FLEET_SESSION=$(head -c 5000 /dev/zero | tr '\0' A)
fleet_call 1 /v1/run "$(body bins bin-lookup "" "$READ" '"a"')"
check "an oversized token" "$FLEET_ANSWER" '*token_too_large*'
FLEET_SESSION=
fleet_call 0 /v1/run "$(body bins place-order "" "$WRITE" '"a", "1"')"
check "an order without an id" "$FLEET_ANSWER" '*request_id_missing*'
fleet_call 0 /v1/run "$(body nowhere bin-lookup "" "$READ" '"a"')"
check "an unknown database" "$FLEET_ANSWER" '*unknown_database*'
fleet_call 0 /v1/run "$(body bins bin-lookup "" "$WRITE" '"a", "2"')"
check "a read that writes" "$FLEET_ANSWER" '*read_kind_wrote*'
fleet_call 0 /v1/run '{"database": 5}'
check "a wrong body" "$FLEET_ANSWER" '*bad_request*must be short texts*'
fleet_call 0 /v1/run "$(head -c 300000 /dev/zero | tr '\0' ' ')"
check "a large body" "$FLEET_ANSWER" '*body_too_large*'
check "a 404 status" "$(status_of -X POST "http://127.0.0.1:$FLEET_BASE/v1/run" -d "$(body nowhere x "" "$READ" '"a"')")" 404

# An interactive transaction whose statements go through different proxies.
fleet_call 0 /v1/transactions "{\"database\": \"orders\", \"kind\": \"place-order\", \"request_id\": \"$(fleet_request_id)\"}"
id=$(sed -n 's/.*"transaction":"\([^"]*\)".*/\1/p' <<< "$FLEET_ANSWER")
fleet_call 1 "/v1/transactions/$id/statements" "{\"statements\": [{\"text\": \"$WRITE\", \"args\": [\"t\", \"9\"]}]}"
check "a statement in an interactive transaction" "$FLEET_ANSWER" '*"outcome":"done"*'
fleet_call 2 "/v1/transactions/$id/commit" '{}'
check "its commit" "$FLEET_ANSWER" '*"outcome":"done"*'
fleet_call 3 /v1/run "$(body orders order-status "" "$READ" '"t"')"
check "its write" "$FLEET_ANSWER" '*[["t","9"]]*'
fleet_call 3 "/v1/transactions/$id/commit" '{}'
check "a second commit returns the outcome of the first" "$FLEET_ANSWER" '*"outcome":"done"*'

# Lost replies and connections that stop answering.
primary=$(for i in 1 2 3; do [ "$(fleet_control "role bins-$i" | cut -d' ' -f1)" = 2 ] && echo "bins-$i"; done)
id=$(fleet_request_id)
fleet_control "lose $primary 1" > /dev/null
fleet_call 0 /v1/run "$(body bins place-order "$id" "$WRITE" '"l", "1"')"
check "a reply lost after the commit" "$FLEET_ANSWER" '*"outcome":"done"*'
fleet_control "lose_before $primary 1" > /dev/null
id=$(fleet_request_id)
fleet_call 0 /v1/run "$(body bins place-order "$id" "$WRITE" '"m", "1"')"
check "a commit lost before the primary runs it" "$FLEET_ANSWER" '*"not_run","reason":"request_voided"*'
fleet_call 2 /v1/run "$(body bins place-order "$id" "$WRITE" '"m", "1"')"
check "its retry gets the same reply" "$FLEET_ANSWER" '*request_voided*'
fleet_control "silence $primary" > /dev/null
fleet_call 0 /v1/run "$(body bins place-order "$(fleet_request_id)" "$WRITE" '"s", "1"')"
check "a write over connections that stop answering gets an outcome" "$FLEET_ANSWER" '*"outcome":"*"*'
sleep 1.5
fleet_call 0 /v1/run "$(body bins place-order "$(fleet_request_id)" "$WRITE" '"s", "2"')"
check "new connections work" "$FLEET_ANSWER" '*"outcome":"done"*'

# Operator commands.
printf 'version: 1\nreads:\n  - {kind: k, max_age_ms: -1}\n  - {kind: k}\nfoo: 1\n' > "$DIR/bad.yaml"
out=$($CTL apply "$DIR/bad.yaml" 2>&1); code=$?
check "a bad file is refused" $code 2
check "all findings are printed" "$(grep -c 'bad.yaml:' <<< "$out")" 3
check "nothing from the bad file is in force" "$($CTL export | grep -c 'kind: k,')" 0
printf 'version: 1\nreads:\n  - {kind: extra-a, max_age_ms: 100}\n' > "$DIR/a.yaml"
printf 'version: 1\nreads:\n  - {kind: extra-b, max_age_ms: 100}\n' > "$DIR/b.yaml"
$CTL apply "$DIR/a.yaml" > "$DIR/out-a" 2>&1 & A=$!
$CTL apply "$DIR/b.yaml" > "$DIR/out-b" 2>&1 & B=$!
wait $A; check "two applies at once: the first" $? 0
wait $B; check "two applies at once: the second" $? 0
check "both are in force" "$($CTL export | grep -c 'extra-')" 2
curl -s -X POST "$STORE/control" -d '{"drop_answers": 1}' > /dev/null
printf 'version: 1\nreads:\n  - {kind: extra-a, max_age_ms: 200}\n' > "$DIR/a.yaml"
before=$($CTL export | sed -n 's/.*revision //p' | sort -n | tail -1)
out=$($CTL apply --wait "$DIR/a.yaml" 2>&1); code=$?
check "an apply whose reply from the store is lost" "$code $out" "0 applied: revision $((before + 1))*in force on 4 of 4 proxies*"
check "diff of what is in force" "$($CTL diff "$DIR/a.yaml")" ""
check "status" "$($CTL status | grep -c "revision $((before + 1)), ok")" 4
out=$($CTL status --proxy 127.0.0.1:1); code=$?
check "an unreachable proxy is named" "$code $out" '1 *unreachable*'

# A database in state leaving gets no new requests after 5 s.
sed 's/name: tallies$/name: tallies\n    state: leaving/' "$DIR/databases.yaml" > "$DIR/leave.yaml"
mkdir -p "$DIR/next" && cp "$DIR/leave.yaml" "$DIR/next/databases.yaml"
$CTL apply --wait "$DIR/next/databases.yaml" > /dev/null
fleet_call 2 /v1/run "$(body tallies bin-lookup "" "$READ" '"a"')"
check "a leaving database" "$FLEET_ANSWER" '*database_leaving*'

# SIGTERM under load: readiness is withdrawn first, so that the load balancer
# stops sending, and no request is aborted.
(sleep 2; kill -TERM "${PROXY_PIDS[3]}") &
$LOAD --deployment imena --rate ${RATE:-150} --seconds 5 --workers 24 \
  --target 127.0.0.1:$FLEET_BASE --target 127.0.0.1:$((FLEET_BASE + 1)) \
  --database bins --database orders > "$DIR/other" &
OTHER=$!
$LOAD --deployment imena --rate ${RATE:-100} --seconds 2.3 --workers 16 \
  --target 127.0.0.1:$((FLEET_BASE + 3)) --database bins --database orders \
  --control 127.0.0.1:$CONTROL_PORT --instances $INSTANCES > "$DIR/stopped"
wait $OTHER
check "no request aborted at the stopping proxy" "$(grep all.no_answer "$DIR/stopped")" "all.no_answer=0"
check "no unknown outcome at the stopping proxy" "$(grep all.unknown "$DIR/stopped")" "all.unknown=0"
check "no request aborted at the other proxies" "$(grep all.no_answer "$DIR/other")" "all.no_answer=0"
check "no unknown outcome at the other proxies" "$(grep all.unknown "$DIR/other")" "all.unknown=0"
wait "${PROXY_PIDS[3]}"; check "a graceful exit" $? 0

# A primary and a proxy are killed at the same time under load.
(sleep 2; fleet_control "kill $primary" > /dev/null; kill -KILL "${PROXY_PIDS[2]}") &
$LOAD --deployment imena --rate ${RATE:-100} --seconds 9 --workers 32 \
  --target 127.0.0.1:$FLEET_BASE --target 127.0.0.1:$((FLEET_BASE + 1)) \
  --database bins --database orders \
  --control 127.0.0.1:$CONTROL_PORT --instances $INSTANCES > "$DIR/killed"
for name in lost doubled wrong all.no_answer all.stale; do
  check "primary and proxy killed: $name" "$(grep "^$name=" "$DIR/killed")" "$name=0"
done
fleet_call 0 /v1/run "$(body bins place-order "$(fleet_request_id)" "$WRITE" '"z", "1"')"
check "writes succeed after the failover" "$FLEET_ANSWER" '*"outcome":"done"*'

# The metrics contain one series for each reason.
check "metrics" "$(curl -s "http://127.0.0.1:$((FLEET_BASE + 300))/metrics" | grep -c '^cassiabay_answers_total')" "$(grep -c '^R (' packages/core/reasons.def)"
check "wrong settings" "$("$BUILD/packages/proxy/cassiabayd" --check --config "$DIR/bad.yaml" 2>&1 | grep -c 'bad.yaml:')" '[1-9]*'
check "right settings" "$("$BUILD/packages/proxy/cassiabayd" --check --config "$DIR/vm-1.yaml")" '*valid'
fleet_stop

# TLS, bearer tokens and client certificates.  Sanitizer builds leave out
# packages/proxy/tlsfix.c and so cannot serve TLS.
if [ "${SKIP_TLS:-}" != 1 ]; then
  for name in server clerk-1; do
    openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=$name" \
      -keyout "$DIR/$name.key" -out "$DIR/$name.crt" > /dev/null 2>&1
  done
  cat "$DIR/server.crt" "$DIR/server.key" > "$DIR/server.pem"
  cat > "$DIR/access.yaml" <<ACCESS
version: 1
callers:
  - {name: shop, token_hash: "$(echo secret | $CTL hash-token)", databases: [orders]}
  - {name: clerk, certificate_name: clerk-1, databases: ["*"]}
ACCESS
  EXTRA_CALLERS="
  tls_file: $DIR/server.pem
  client_ca_file: $DIR/clerk-1.crt
  access_file: $DIR/access.yaml"
  fleet_start 1 || echo "the TLS proxy did not start"
  fleet_await_primaries
  sleep 1
  tls () { # database curl-options...
    local database=$1
    shift
    curl -sk "$@" "https://127.0.0.1:$FLEET_BASE/v1/run" \
      -d "$(body "$database" order-status "" "$READ" '"a"')"
  }
  check "TLS without credentials" "$(tls orders)" '*unauthenticated*'
  check "a bearer token" "$(tls orders -H 'Authorization: Bearer secret')" '*"outcome":"done"*'
  check "a wrong token" "$(tls orders -H 'Authorization: Bearer guess')" '*unauthenticated*'
  check "a token for another database" "$(tls bins -H 'Authorization: Bearer secret')" '*forbidden*'
  check "a client certificate" "$(tls bins --cert "$DIR/clerk-1.crt" --key "$DIR/clerk-1.key")" '*"outcome":"done"*'
  cmp -s <(echo | openssl s_client -connect "127.0.0.1:$FLEET_BASE" 2> /dev/null | openssl x509 2> /dev/null) "$DIR/server.crt"
  check "the configured certificate" $? 0
fi
echo "$PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
