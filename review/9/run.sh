#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption. Wants the program (`build` of deploy/balancer.toml) and the stand-ins (review/build-2.sh, which builds those
# of the earlier review too: the driver is its trial `spoilt`).
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/heronroute ] && [ -x ../stand/target/release/spoilt ] || exit 2
rm -f record.txt
../stand/target/release/spoilt "$PWD" &
pid=$!
# The processes that it started end with it.
trap 'kill "$pid" 2>/dev/null' HUP INT TERM
wait "$pid"
[ $? -le 1 ] && [ -s record.txt ] || exit 2
# The driver's own exit code is by the rule of `calm` and `roll`; the verdict here is by that of the other days: of the
# traffic's last third (its first 52 s are over, the last spoilt answer is 4 s old) less than a tenth is served.
awk '
    $2 == "client:" && $3 == "OUT.ADD" { if (!start) start = $1 + 1; if ($1 >= start + 52000) came[$4] = 1 }
    $3 == "answers" && $4 == "200" { served[$5] = 1 }
    END {
        for (id in came) { n++; if (id in served) s++ }
        printf "last third: handed in %d, served %d\n", n, s
        exit n < 1000 ? 2 : s * 10 < n ? 1 : 0
    }' record.txt
