#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/6 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/stand2
