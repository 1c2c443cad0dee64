#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf build/review-2
mkdir -p build/review-2
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$name" "$source" &
done
wait
for source in review/standin-2/*.cpp; do
  test -x "build/review-2/$(basename "$source" .cpp)"
done
