#!/usr/bin/env bash
# The fabric loses a whole domain for some seconds. Its balancers go on, so
# copies of one request reach both sides.
source "$(dirname "$0")/common.sh"
scenario_open
load_start 11000
sleep 2
fabric_cut '["agadir-a"]'
sleep 4
fabric_cut '[]'
load_wait
cluster_check --min_whole_share=0.5
