#!/usr/bin/env bash
# Prints the C++ files that people write, one a line.
cd "$(dirname "$0")/.."
find src apps platform standins tests bench scenario -name '*.h' -o -name '*.cpp' | sort
