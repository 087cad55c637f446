#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/packages/proxy/cassiabayd
world=target/review-2/unlisted_replica
[ -x "$program" ] && [ -x "$world" ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
TROUBLE=${TROUBLE:-1} timeout -k 2 110 \
  "$world" "$program" "$dir" review/9/record.txt
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"
[ "$status" -le 1 ] && exit "$status"
exit 2
