#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the packages of deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -g -Wall -Wextra -pthread"
# shellcheck disable=SC2086
g++ $flags -c review/standin/Standin.cpp -o target/review/Standin.o
for source in review/[1-5]/Case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" target/review/Standin.o -o "target/review/case-$number"
done
