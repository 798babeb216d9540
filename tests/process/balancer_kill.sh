#!/usr/bin/env bash
# One balancer is killed; the fabric goes on sending datagrams to it for two
# seconds.
source "$(dirname "$0")/common.sh"
scenario_open "$OVERLOAD"
load_start 9000
sleep 3
vm_kill agadir-b-1
vm_lost agadir-b-1
load_wait
cluster_check --min_whole_share=0.5
