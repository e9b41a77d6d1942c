#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The service itself is built by the line in deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/.standin
