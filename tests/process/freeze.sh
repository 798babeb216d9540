#!/usr/bin/env bash
# Two VMs are paused, one for about a second and one until long after the others
# have declared it dead. They resume with an old view, old requests and an old
# configuration.
source "$(dirname "$0")/common.sh"
scenario_open "$OVERLOAD"
load_start 11000
sleep 2
vm_pause agadir-a-3
vm_pause taroudant-2
sleep 1
vm_resume agadir-a-3
upstream_drain ledger-4 1
sleep 5
vm_resume taroudant-2
load_wait
cluster_check --min_whole_share=0.4
