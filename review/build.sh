#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  folder=${source%/case.cpp}
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istandin -o "bin/case$folder" "$source"
done
