#!/bin/sh
# Exit code: 1 where the rule was broken, 0 where it held, 2 where the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../stand/target/release/cancel ] || { echo "run review/build.sh first"; exit 2; }
../stand/target/release/cancel "$PWD" &
pid=$!
# The processes that it started end with it.
trap 'kill "$pid" 2>/dev/null' HUP INT TERM
wait "$pid"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
