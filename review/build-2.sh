#!/bin/bash
# Builds the stand-ins that the scripts of the second independent review start.
set -eu
cd "$(dirname "$0")/.."
exec go build -ldflags=-linkmode=external -tags review2 -o target/review2 ./review/harness2
