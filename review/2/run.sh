#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes record.txt beside this script: what was sent, answered and run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
record="$folder/record.txt"
echo "case 2: the stand-ins are started" >"$record" || exit 2
[ -x "$root/target/review/stand" ] || {
    echo "target/review/stand is missing: run review/build.sh" >>"$record"
    exit 2
}
exec "$root/target/review/stand" 2 "$root" "$record"
