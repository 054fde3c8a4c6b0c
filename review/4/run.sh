#!/bin/sh
# Plays the case of claim.txt and writes record.txt beside it.
exec "$(dirname "$0")/../run-case.sh" leave "$(dirname "$0")/record.txt"
