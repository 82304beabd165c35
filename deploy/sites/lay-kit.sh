#!/bin/sh
# Lays the bench's tables beside the site files here, so that it takes them like its own; git ignores the copies.
# usage: deploy/sites/lay-kit.sh FOLDER, where FOLDER is the kit's folder of sites on sockets
set -eu
here="$(cd "$(dirname "$0")" && pwd)"
for table in wire.json design.json real.json unlock.txt; do
  if [ ! -f "$1/$table" ]; then
    echo "lay-kit: $1 has no $table" >&2
    exit 1
  fi
  cp "$1/$table" "$here/$table"
  chmod u+w "$here/$table"
done
