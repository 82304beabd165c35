#!/bin/sh
# Plays the case; exit 1 where the rule was broken, 0 where it held, 2 where the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
# The dispatcher has the last core that this process may use to itself, and the stand-ins have the others.
cores="$(sed -n 's/^Cpus_allowed_list:[[:space:]]*//p' /proc/self/status | tr ',' '\n' \
  | while IFS=- read -r from to; do seq "$from" "${to:-$from}"; done)"
last="$(echo "$cores" | tail -1)"
others="$(echo "$cores" | sed '$d' | paste -sd, -)"
[ -n "$others" ] || exit 2
exec timeout -k 5 110 taskset -c "$others" java -Xmx512m -Dcore="$last" -cp review/out review.HalfRequests \
  "$here/record.txt"
