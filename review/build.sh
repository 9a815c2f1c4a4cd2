#!/bin/sh
# Builds the program that plays the cases with a script: the stand-ins of the store, of
# searchers and of callers, and the checks. The node itself is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
