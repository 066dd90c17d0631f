#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/waxwingusher ] && [ -x target/review-2/standins ] || {
  echo "build the program and run review/build-2.sh first" >&2
  exit 2
}
exec target/review-2/standins crash-midway "review/8/record.txt"
