#!/bin/sh
# Runs the case $1 and writes what was sent, answered and run to the file $2. Exit codes: 1
# the rule was broken, 0 it held, 2 the case could not run.
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2") || exit 2
cd "$(dirname "$0")/.." || exit 2
for program in target/teaselrackd target/review/lab; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build.sh" | tee "$record" >&2
		exit 2
	fi
done
exec target/review/lab -case "$1" -program target/teaselrackd -record "$record"
