#!/bin/sh
# Builds every stand-in that the scripts of the second review start. The controllers are built by
# the build line of deploy/service.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/.standin-2
