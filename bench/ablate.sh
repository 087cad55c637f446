#!/usr/bin/env bash
# Switches off one mechanism at a time on a scratch copy of the committed sources
# and plays days of the users' bench with it.  Prints a line for each mechanism
# and site: the mean worth without it, the difference from the mean with all, and
# the number of days.
#
#   BENCH=PROGRAM bench/ablate.sh "SITE..." "DAY..." "SEED..." [NAME...]
#
# NAMEs are rows of bench/ablations; none: all.  The journal entries of the plays
# are copied to the journal here.
set -eu
cd "$(dirname "$0")/.."
SITES=$1
DAYS=$2
SEEDS=$3
shift 3
JOBS=${JOBS:-5}
COPY=$(mktemp -d /tmp/cassiabay-ablate.XXXXXX)
trap 'rm -rf "$COPY"' EXIT
git clone -q . "$COPY/tree"
PLAYED=$(ls "$COPY/tree/journal")

# play NAME SITE: prints the mean worth of all days and their number.
play ()
{
  for day in $DAYS; do
    for seed in $SEEDS; do
      echo "$day" "$seed"
    done
  done | xargs -P "$JOBS" -L 1 bash -c 'cd "$0/tree" && "$1" run "$2" "$4" \
    --seed "$5" --no-cpu --why "ablation: without $3" 2> "$0/errors"' \
    "$COPY" "$BENCH" "$2" "$1" | awk '/^worth /{ sum += $2; n++ }
      END { if (n) printf "%.4f %d\n", sum / n, n; else print "0 0" }'
}

row ()
{
  awk -F ' [|] ' -v name="$1" '$1 == name { print $2; print $3 }' bench/ablations
}

names ()
{
  if [ $# -gt 0 ]; then printf '%s\n' "$@"; else awk -F ' [|] ' '/^[a-z]/{ print $1 }' \
    bench/ablations; fi
}

declare -A WITH
printf '%-32s %-26s %8s %8s %5s\n' without site worth change days
for name in nothing $(names "$@"); do
  git -C "$COPY/tree" checkout -q .
  if [ "$name" != nothing ]; then
    { read -r file; read -r expression; } < <(row "$name")
    sed -i "$expression" "$COPY/tree/$file"
    if git -C "$COPY/tree" diff --quiet; then
      echo "$name: the change does not apply" >&2
      exit 1
    fi
  fi
  (cd "$COPY/tree" && "$BENCH" build) > "$COPY/build" 2>&1 || { cat "$COPY/build"; exit 1; }
  for site in $SITES; do
    read -r worth n < <(play "$name" "$site")
    [ "$name" = nothing ] && WITH[$site]=$worth
    printf '%-32s %-26s %8s %+8.4f %5s\n' "$name" "$(basename "$site" .toml)" "$worth" \
      "$(awk -v a="$worth" -v b="${WITH[$site]}" 'BEGIN { print a - b }')" "$n"
  done
done
for entry in $(ls "$COPY/tree/journal"); do
  case $PLAYED in *"$entry"*) ;; *) cp -r "$COPY/tree/journal/$entry" journal/ ;; esac
done
