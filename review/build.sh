#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin, and the programs of the deploy file if neither
# it nor scripts/build has made them.
set -euo pipefail
cd "$(dirname "$0")/.."
built() { [ -x "$1/driftlug-platform-node" ] && [ -x "$1/driftlug-platform-controller" ]; }
if ! built target/bin && ! built build/release/bin; then
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
  bash -c "$build" >&2
fi
mkdir -p review/bin
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  program="review/bin/case-$number"
  if [ ! -x "$program" ] || [ -n "$(find "$source" review/standins -newer "$program")" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins "$source" -o "$program"
  fi
done
