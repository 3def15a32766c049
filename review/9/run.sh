#!/bin/sh
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0: without the
# disruption. What was sent, answered and run stands in record.txt beside this file, with the gateway's log at its end.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
: >"$here/record.txt" || exit 2
PATH="${PATH:-/usr/bin:/bin}:/usr/bin:/bin"
export PATH
command -v python3 >/dev/null || exit 2
exec python3 "$here/case.py" "$here/record.txt"
