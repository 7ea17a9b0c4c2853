#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the
# disruption is left out. review/build-2.sh builds the program, which writes what was sent, answered
# and run to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
record=review/8/record.txt
program=target/review-2/wide_graph
: >"$record" || exit 2
if [ ! -x "$program" ] || [ ! -x target/chicoryliftd ]; then
    echo "not run: the programs are not built" >"$record"
    exit 2
fi
timeout 115 "$program" "$record"
code=$?
[ "$code" -le 1 ] && exit "$code"
echo "not run to its end: exit code $code" >>"$record"
exit 2
