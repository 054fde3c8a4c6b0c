#!/bin/sh
# Builds the stand-ins of the cases into target/review. The programs of the system come
# from the build of the deploy file.
set -eu
cd "$(dirname "$0")/lab"
GOWORK=off go build -o ../../target/review/lab .
