#!/bin/sh
# Compiles the launcher of the JVM into the file named by the argument; leaves no file if the compiler fails.
set -eu
source="$(dirname "$0")/java_launcher.c"
if ! cc -O2 -Wall -Wextra -Werror -rdynamic -o "$1.new" "$source" -ldl; then
  rm -f "$1" "$1.new"
  exit 1
fi
mv "$1.new" "$1"
