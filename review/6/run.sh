#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] && [ -x target/bin/driftlug-platform-controller ] || exit 2
exec target/review-2/case-6 "$PWD" "$PWD/review/6"
