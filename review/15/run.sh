#!/bin/sh
# Runs the case, see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-lab3 names review/15/record.txt
