#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
