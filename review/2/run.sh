#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" cold-again 2
