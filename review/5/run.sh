#!/usr/bin/env bash
# CONFIG: a configuration with an idle timeout above a day is refused whole.
# See claim.txt.
source "$(dirname "$0")/../standin/lib.sh"
run_case 5 6
