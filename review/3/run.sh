#!/bin/sh
# Plays the case; exit 1 where the rule was broken, 0 where it held, 2 where the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec timeout -k 5 110 java -Xmx256m -cp review/out review.Withdrawn "$here/record.txt"
