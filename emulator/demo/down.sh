#!/bin/sh
# Stops the processes that up.sh started, by their recorded process IDs.
set -u
cd "$(dirname "$0")/../.." || exit 1
. emulator/demo/lib.sh
stop_all
