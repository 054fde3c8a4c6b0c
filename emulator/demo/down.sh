#!/bin/sh
# Stops what up.sh started, by the recorded process ids.
set -u
cd "$(dirname "$0")/../.." || exit 1
. emulator/demo/lib.sh
stop_all
