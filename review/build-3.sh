#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
