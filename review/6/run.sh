#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/review/support-2/target/IdInUseCase.class" ] || [ ! -f "$root/target/magpiehub.jar" ]; then
    echo "not built" >&2
    exit 2
fi
timeout -k 2 115 java -Xmx128m -cp "$root/review/support-2/target" IdInUseCase "$root" "$here"
status=$?
case $status in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
