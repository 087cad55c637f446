#!/usr/bin/env bash
# merge_slopes.sh FILE...: merges name=value lines into docs/slopes.txt.  The last
# value of a name replaces earlier ones.
set -eu
cd "$(dirname "$0")/.."
touch docs/slopes.txt
cat docs/slopes.txt "$@" | awk -F= 'NF == 2 { v[$1] = $2 }
  END { for (n in v) print n "=" v[n] }' | sort > docs/slopes.new
mv docs/slopes.new docs/slopes.txt
