#!/bin/sh
# Plays the case of claim.txt and writes record.txt beside it.
exec "$(dirname "$0")/../run-case.sh" kill-all "$(dirname "$0")/record.txt"
