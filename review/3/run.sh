#!/usr/bin/env bash
# DRAIN: hosts that start again while a target drains list it as ready when a
# later page of the listing is older than the first. See claim.txt.
source "$(dirname "$0")/../standin/lib.sh"
run_case 3 6
