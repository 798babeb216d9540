#!/usr/bin/env bash
# The platform is down, then serves its first values again, then works again.
# Meanwhile two operators publish conflicting patches: every VM must accept the
# same one of them, and no VM may return to an older version.
source "$(dirname "$0")/common.sh"
scenario_open
load_start 14000
sleep 2
upstream_drain ledger-5 1
expect "version 2 is in force everywhere" versions_reach 2
platform_fault down
patch_publish 2 "[{\"op\": \"replace\", \"path\": \"$(upstream_pointer ledger-6)/draining\", \"value\": true}]"
patch_publish 2 "[{\"op\": \"replace\", \"path\": \"$(upstream_pointer ledger-7)/draining\", \"value\": true}]"
sleep 2
platform_fault back
sleep 2
expect "an old answer of the platform reverts no version" versions_reach 2
platform_fault ok
expect "version 3 is in force everywhere" versions_reach 3
CLUSTER_LEAVING+=("ledger-6@$(now_ms)")
load_wait
expect "the same version 3 everywhere" versions_reach 3
cluster_check --min_whole_share=0.9 --max_unanswered=0 --max_unknown=0
