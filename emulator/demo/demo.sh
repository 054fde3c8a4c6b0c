#!/bin/sh
# Runs the whole demo and leaves no process behind.
set -u
cd "$(dirname "$0")/../.." || exit 1
. emulator/demo/lib.sh
trap 'stop_all; exit 1' INT TERM HUP
start_all || exit 1
"$BIN/demo" -dir "$DIR"
result=$?
if stop_all; then
	echo "all processes stopped by themselves"
else
	result=1
fi
[ $result -eq 0 ] || echo "the logs are in $DIR/log" >&2
exit $result
