#!/bin/sh
# Builds what the scripts of the cases 4 and later start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness2 ./review/harness2
