#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 the same is done without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.1.case
