#!/usr/bin/env bash
# Runs each fuzz target with RUNS inputs, a fixed seed and an empty corpus besides
# tests/fuzz/seeds.
set -eu
cd "$(dirname "$0")/../.."
RUNS=${RUNS:-40000}
OUT=build-fuzz
mkdir -p "$OUT"
LIBS="glib-2.0 yaml-0.1 jansson libxxhash libsodium msgpack liburcu-bp"
# shellcheck disable=SC2046
clang -g -O1 -std=gnu11 -D_GNU_SOURCE -fsanitize=fuzzer,address,undefined \
  -fno-sanitize-recover=undefined \
  -Ipackages/accounts -Ipackages/core -Ipackages/adapters -Ipackages/proxy -Iplatform \
  tests/fuzz/fuzz.c packages/accounts/account.c packages/core/{decl,dir,finding,gossip,manifest,packcheck,reason,requestid,statement,token,wire,yamldoc}.c \
  packages/adapters/{access,callerjson}.c packages/proxy/settings.c platform/{linecodec,platsettings,records}.c \
  $(pkg-config --cflags --libs $LIBS) -o "$OUT/fuzz"
for target in decl settings access json token wire manifest lines relay \
  upstream records site gossip; do
  rm -rf "${OUT:?}/$target" && mkdir -p "$OUT/$target"
  FUZZ_TARGET=$target "$OUT/fuzz" -seed=1 -runs="$RUNS" \
    -max_len=4096 -artifact_prefix="$OUT/$target-" "$OUT/$target" \
    "tests/fuzz/seeds/$target" > "$OUT/$target.log" 2>&1 \
    || { tail -n 30 "$OUT/$target.log"; exit 1; }
  echo "fuzz.$target.runs=$(sed -n 's/^Done \([0-9]*\) runs.*/\1/p' "$OUT/$target.log")"
done
