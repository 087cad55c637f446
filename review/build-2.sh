#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up into target/review-2, after the
# build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
include="-Ireview/standins-2 -Ipackages/core -Ipackages/accounts -Ipackages/adapters
  -Ipackages/proxy -Iplatform -Itests/fakes"
libraries="target/platform/libplatform.a target/packages/proxy/libgate.a
  target/packages/adapters/libadapters.a target/packages/core/libcore.a
  target/packages/accounts/libaccounts.a"
flags=$(pkg-config --cflags --libs glib-2.0 yaml-0.1 jansson libxxhash \
  libsodium msgpack libpq libcurl libzmq)
common="review/standins-2/deployment.c review/standins-2/cutpath.c
  tests/fakes/dbmodel.c tests/fakes/faultproxy.c tests/fakes/kvstore.c
  tests/fakes/lineserver.c"
for program in review/standins-2/[a-z]*.c; do
  name=$(basename "$program" .c)
  case $name in
    deployment | cutpath) continue ;;
  esac
  # shellcheck disable=SC2086
  gcc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE $include -o "$out/$name" \
    "$program" $common -Wl,--start-group $libraries -Wl,--end-group $flags \
    -lcivetweb -lpthread -lm
done
