#!/usr/bin/env bash
# Two balancers of different domains are killed at the same moment, so that a
# flow's owner and its backup may both be gone.
source "$(dirname "$0")/common.sh"
# A flow may lose its upstream if its owner and its backup are killed at once.
readonly MAX_BROKEN_FLOWS=40
scenario_open "$OVERLOAD"
load_start 9000
sleep 3
vm_kill agadir-a-2
vm_kill taroudant-1
vm_lost agadir-a-2 taroudant-1
load_wait
cluster_check --min_whole_share=0.5 --max_broken_flows="$MAX_BROKEN_FLOWS"
