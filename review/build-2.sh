#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the packages of deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standin-2/Standin.cpp -o target/review-2/Standin.o
for number in 6 7 8 9 10; do
  source=review/$number/Case.cpp
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" target/review-2/Standin.o -o "target/review-2/case-$number"
done
