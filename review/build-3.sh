#!/bin/sh
# Builds the stand-ins of the scripts of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o build/review3/standins3 ./review/harness3
