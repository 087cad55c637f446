#!/bin/sh
# Builds the stand-ins of the scripts review/11 to review/15 and review/found-3 into
# target/review-3/.  To be run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/standins-3
  -Itests/fakes -Iplatform -Ipackages/core -Ipackages/adapters
  -Ipackages/accounts"
libraries="glib-2.0 yaml-0.1 jansson libxxhash libsodium msgpack libcurl
  libzmq liburcu-bp"
archives="target/platform/libplatform.a target/packages/proxy/libgate.a
  target/packages/adapters/libadapters.a target/packages/core/libcore.a
  target/packages/accounts/libaccounts.a"
common="review/standins-3/deployment.c review/standins-3/instance.c
  review/standins-3/client.c tests/fakes/dbmodel.c tests/fakes/kvstore.c"
for case in old_log session_values large_session unread_answers; do
  # shellcheck disable=SC2046,SC2086
  gcc $flags $(pkg-config --cflags $libraries) -o "$out/$case" \
    "review/standins-3/$case.c" $common -Wl,--start-group $archives \
    -Wl,--end-group $(pkg-config --libs $libraries) -lcivetweb -lpthread -lm
done
