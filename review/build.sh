#!/bin/sh
# Builds the stand-ins and the cases with the JDK alone; run after the build command of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target support/*.java [0-9]*/*.java
