#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/magpiehub.jar ] || [ ! -f "review/target/$2.class" ]; then
    echo "run the build command of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
fi
timeout -k 3 115 java -Xmx512m -cp review/target "$2" "review/$1"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
