#!/usr/bin/env bash
# Two upstreams are drained as planned: established flows stay, new flows go to
# other upstreams, and no request is lost.
source "$(dirname "$0")/common.sh"
scenario_open
load_start 11000
sleep 2
upstream_drain ledger-3 1
upstream_drain statements-2 2
load_wait
cluster_check --min_whole_share=0.9 --max_unanswered=0 --max_unknown=0
