#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/covelinkd ] || [ ! -x out/review/standin ]; then
  echo 'run the build of deploy/system.toml and review/build.sh first' >&2
  exit 2
fi
exec out/review/standin stream target/covelinkd review/2/record.txt
