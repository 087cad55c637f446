#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run.  TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review-3/unread_answers ] || exit 2
timeout -k 5 110 target/review-3/unread_answers review/found-3/unread-answers/record.txt
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
