#!/bin/sh
# Plays the case. 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/portrackd ] && [ -x target/review-2/rig ] || exit 2
exec target/review-2/rig stopping "$here/record.txt"
