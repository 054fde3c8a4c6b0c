#!/bin/sh
# Builds the programs that the scripts of the cases 11 to 15 start, besides those of the deploy file.
set -eu
cd "$(dirname "$0")/lab3"
GOWORK=off go build -o ../../target/review-lab3 .
