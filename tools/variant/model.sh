#!/bin/sh
# Plays a load of our own model (TestChain) in place of a day of the bench:
#   model.sh run - LOAD [--seed N]
# It leaves an entry in journal/ as the bench does, and ignores the bench's other flags.
set -eu
load=$3
shift 3
seed=1
while [ $# -gt 0 ]; do
	[ "$1" = --seed ] && seed=$2
	shift
done
mkdir -p journal
go test ./internal/request/relay -count=1 -run "TestChain/^$load\$" -chain.seed "$seed" -chain.seeds 8 -chain.report "$PWD/journal/model.json"
