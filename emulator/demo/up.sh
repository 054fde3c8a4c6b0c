#!/bin/sh
# Starts the demo system, founds its replica groups, applies the first release
# note, and leaves the system running.
set -u
cd "$(dirname "$0")/../.." || exit 1
. emulator/demo/lib.sh
start_all || exit 1
if ! "$BIN/demo" -dir "$DIR" -found; then
	report_ended
	echo "the logs are in $DIR/log" >&2
	stop_all
	exit 1
fi
echo "the system is up: see $DIR/endpoints.env, and stop it with: make down"
