#!/usr/bin/env bash
# Runs a scenario with the naive relay instead of the balancer. Succeeds only if
# the checker finds a broken promise, because a scenario that the naive relay
# passes proves nothing.
set -euo pipefail
scenario=$1
status=0
out=$(FOXTAIL_RELAY=naive "$(dirname "$0")/$scenario.sh" 2>&1) || status=$?
if [ "$status" != 1 ] || ! grep -q '^BROKEN' <<<"$out"; then
  echo "FAILED: exit $status and no broken promise"
  echo "$out"
  exit 1
fi
grep '^BROKEN' <<<"$out"
