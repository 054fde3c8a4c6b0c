#!/bin/sh
# Runs the case $1 in the folder $2. Exit codes: 1 the rule was broken, 0 it held, 2 the
# case could not run.
cd "$(dirname "$0")/.." || exit 2
for program in target/teaselrackd target/review/lab; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build.sh" >&2
		exit 2
	fi
done
exec target/review/lab -case "$1" -program target/teaselrackd -folder "review/$2"
