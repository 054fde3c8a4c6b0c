#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" crash-all 1
