#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" poison 5
