#!/bin/sh
# Plays the case once; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0 does the same without the disruption, and has to hold. CASE names another folder for record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/persimmonmountd ] && [ -x target/review-2/case-10 ] || exit 2
TROUBLE="${TROUBLE:-1}" CASE="${CASE:-review/10}" exec target/review-2/case-10
