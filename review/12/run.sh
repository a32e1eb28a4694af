#!/usr/bin/env bash
# Plays the case. Run it after the build of the deploy file and review/build-3.sh. It exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig3 ] && [ -x target/goldcrestwick ] || exit 2
exec target/rig3 late-beat review/12
