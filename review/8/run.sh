#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 without the disruption. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# It needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/covelinkd ] && [ -x target/review-2/standin-2 ] || { echo "build first" >&2; exit 2; }
calm=()
if [ "${TROUBLE:-1}" = 0 ]; then calm=(-calm); fi
exec target/review-2/standin-2 -case stop-limits -program target/covelinkd -record review/8/record.txt "${calm[@]}"
