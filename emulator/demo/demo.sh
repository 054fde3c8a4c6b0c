#!/bin/sh
# Starts the demo system, runs all steps of the demo and stops the system.
set -u
cd "$(dirname "$0")/../.." || exit 1
. emulator/demo/lib.sh
trap 'stop_all; exit 1' INT TERM HUP
start_all || exit 1
"$BIN/demo" -dir "$DIR"
result=$?
report_ended
if stop_all; then
	echo "all processes stopped, none had to be killed"
else
	result=1
fi
[ $result -eq 0 ] || echo "the logs are in $DIR/log" >&2
exit $result
