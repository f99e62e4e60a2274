#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs the Go toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/ ./review/stand2
