# Sourced by the run.sh of a case: runs review/bin/case-N in the root of the
# repository with a temporary folder.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$here/../.." || exit 2
program=review/bin/case-$(basename "$here")
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 5 110 "$program" "$here" "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] && exit "$code"
exit 2
