#!/bin/sh
exec "$(dirname "$0")/../support/run-case.sh" 3 RetuneAndRestart
