#!/usr/bin/env bash
# Runs a scripted case of the second review: case-2.sh FOLDER SCENARIO TROUBLE. The exit code is 1 if the rule was broken, 0 if it
# held and 2 if the case couldn't run. With 0 for TROUBLE the disruption is left out.
set -uo pipefail
cd "$(dirname "$0")/.."
rig=target/review-2/rig
if [ ! -x target/hibiscusd ] || [ ! -x "$rig" ]; then
  echo "first run the build of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
trouble=true
if [ "$3" = 0 ]; then
  trouble=false
fi
timeout --kill-after=3 112 "$rig" --scenario "$2" --binary target/hibiscusd --directory "$directory" \
  --record "review/$1/record.txt" --trouble="$trouble"
code=$?
if [ "$code" -gt 1 ]; then
  code=2
fi
exit "$code"
