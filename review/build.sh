#!/bin/sh
# Builds the stand-ins that the scripts under review/ start, into review/build. Needs the compiler alone.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for case in 1 2 3; do
  [ -e "$case/driver.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case$case" "$case/driver.cpp"
done
