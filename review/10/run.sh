#!/bin/sh
# Plays the case once; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/persimmonmountd ] && [ -x target/review-2/case-10 ] || exit 2
CASE=review/10 exec target/review-2/case-10
