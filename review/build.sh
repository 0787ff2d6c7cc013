#!/bin/sh
# Builds the stand-ins of the scripted cases. The Go files under review/ have the build
# tag "review", which keeps them out of go build ./..., go vet ./... and make test.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/harness ./review/harness
