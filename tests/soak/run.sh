#!/usr/bin/env bash
# Runs the soak for each seed of SEEDS (7, or 1-50), two side by side; logs stay
# in $BUILD/soak/SEED.  Fails when a seed does.
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
