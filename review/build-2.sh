#!/bin/sh
# Compiles the stand-ins of this review and its cases into review/support-2/target.
set -e
cd "$(dirname "$0")"
rm -rf support-2/target
mkdir -p support-2/target
sources=$(find support-2/src $(ls -d [0-9]*/src 2>/dev/null) -name '*.java')
javac -Xlint:-options --release 17 -encoding UTF-8 -d support-2/target $sources
