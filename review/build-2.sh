#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 and 8. The gateway is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/kit2 ./review/kit2
