#!/bin/sh
# Builds the stand-ins of the second review's cases with the JDK alone. Run it after the build of deploy/balancer.toml.
set -eu
root="$(cd "$(dirname "$0")/.." && pwd)"
rm -rf "$root/review/standins-2/target"
mkdir -p "$root/review/standins-2/target"
javac -encoding UTF-8 --release 17 -d "$root/review/standins-2/target" "$root"/review/standins-2/*.java
