#!/usr/bin/env bash
# For four seconds the fabric drops all datagrams to and from the balancers of
# one domain. These balancers go on serving, so copies of one request reach
# balancers inside and outside the domain.
source "$(dirname "$0")/common.sh"
scenario_open
load_start 11000
sleep 2
fabric_cut '["agadir-a"]'
sleep 4
fabric_cut '[]'
load_wait
cluster_check --min_whole_share=0.5
