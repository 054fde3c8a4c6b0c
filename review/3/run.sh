#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" kill-all 3
