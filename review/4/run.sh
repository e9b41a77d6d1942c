#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
# TROUBLE=0 there is no disruption. What was sent, answered and run is written to record.txt.
case_dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_dir/../.." || exit 2
[ -x target/lilaclead ] && [ -x target/standin-2 ] || { echo "build first: deploy/service.toml, review/build-2.sh"; exit 2; }
exec target/standin-2 old-report "$case_dir/record.txt"
