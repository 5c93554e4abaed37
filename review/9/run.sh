#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption. Wants the program (`build` of deploy/balancer.toml) and the stand-ins (review/build-2.sh, which builds those
# of the earlier review too: the driver is its trial `spoilt`).
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/heronroute ] && [ -x ../stand/target/release/spoilt ] || exit 2
../stand/target/release/spoilt "$PWD" &
pid=$!
# The processes that it started end with it.
trap 'kill "$pid" 2>/dev/null' HUP INT TERM
wait "$pid"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
