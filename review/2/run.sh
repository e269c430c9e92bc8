#!/usr/bin/env bash
# CONFIG: a route that was dropped is served on after one host woke and listed
# the store again. See claim.txt.
source "$(dirname "$0")/../standin/lib.sh"
run_case 2 6
