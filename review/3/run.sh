#!/bin/sh
# Plays the case against target/foxcross-entry, and writes record.txt. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/reviewcase ] || { echo "run review/build.sh first"; exit 2; }
exec ../bin/reviewcase keys "$(cd ../.. && pwd)" record.txt
