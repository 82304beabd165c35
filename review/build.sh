#!/bin/sh
# Builds the stand-ins that the cases start, with the JDK alone; the program itself is built by the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -nowarn -d out standins/*.java
