#!/usr/bin/env bash
# Two planned replacements of balancers, one after the other: no flow breaks
# and no request is lost.
source "$(dirname "$0")/common.sh"
scenario_open
load_start 10000
sleep 2
vm_replace agadir-a-1
sleep 2
vm_replace taroudant-2
load_wait
cluster_check --min_whole_share=0.9 --max_unanswered=0 --max_unknown=0
