#!/usr/bin/env bash
# Runs a case's program with a limit of time, in a temporary folder that is removed.
# usage: review/run-case.sh N     (TROUBLE=0: without the disruption)
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
number=$1
review/build.sh >/dev/null || exit 2
folder=$(mktemp -d) || exit 2
program=
trap 'rm -rf "$folder"' EXIT
trap '[ -z "$program" ] || kill -TERM "$program"; exit 2' TERM INT HUP
"review/bin/case-$number" "$PWD" "$folder" "review/$number/record.txt" "${TROUBLE:-1}" &
program=$!
wait "$program"
result=$?
[ "${KEEP_LOGS:-}" = "" ] || cp "$folder"/*.log "$KEEP_LOGS"/
[ "$result" -le 2 ] || result=2
exit "$result"
