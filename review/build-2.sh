#!/usr/bin/env bash
# Builds the programs of the cases of this review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-6]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -pthread -o "target/review-2/case-$number" "$source"
done
