#!/usr/bin/env bash
# Runs the soak test for each seed in SEEDS (one seed, such as 7, or a range,
# such as 1-50), two at a time.  Logs are kept in $BUILD/soak/SEED.  Exits
# non-zero when a seed fails.
set -eu
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
SECONDS_EACH=${SECONDS_EACH:-30}
PROXIES=${PROXIES:-4}
export BUILD SECONDS_EACH PROXIES

run_seed ()
{
  "$BUILD/tests/soak" --seed "$1" --seconds "$SECONDS_EACH" \
    --proxies "$PROXIES" --base $((20000 + $1 % 40 * 200)) \
    --program "$BUILD/packages/proxy/cassiabayd" --dir "$BUILD/soak/$1"
}
export -f run_seed
seq "${SEEDS%-*}" "${SEEDS#*-}" | xargs -P 2 -I{} bash -c 'run_seed {}'
