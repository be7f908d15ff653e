#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. Needs the packages of the deploy file, nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=()
for source in review/standins-2/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review-2/$name" -lboost_json -lpthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
