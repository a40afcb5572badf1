#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The programs of the deploy file must be built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o review/bin/ ./review/stand
