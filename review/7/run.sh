#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# The processes must have been built before: the build line of deploy/system.toml and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/celeryport ] && [ -x target/review-2/rig ] || exit 2
exec target/review-2/rig drain "$folder"
