#!/usr/bin/env bash
# CONFIG: hosts never learn anything again after the store was down and lost its
# history meanwhile. See claim.txt.
source "$(dirname "$0")/../standin/lib.sh"
run_case 1 6
