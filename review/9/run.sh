#!/bin/sh
# Plays the case; exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 plays it without the trouble.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
classes="$root/review/standins-2/target"
rm -f "$here/record.txt"
if [ ! -f "$classes/ReplayAtAnotherPath.class" ] || [ ! -f "$root/app/target/gorseladder.jar" ]; then
  echo "not built: the build of deploy/balancer.toml and review/build-2.sh come first" >&2
  exit 2
fi
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
trap 'kill "$player" 2> /dev/null; wait "$player"; exit 2' INT TERM
java -Xmx1g -XX:+UseSerialGC -cp "$classes" ReplayAtAnotherPath "$root" "$folder" "$here/record.txt" &
player=$!
wait "$player"
code=$?
if [ "$code" -eq 1 ]; then
  grep -q 'THE RULE WAS BROKEN' "$here/record.txt" 2> /dev/null || code=2
fi
[ "$code" -le 1 ] || code=2
exit "$code"
