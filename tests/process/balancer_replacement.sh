#!/usr/bin/env bash
# Two planned replacements of balancers, one after the other: no flow breaks
# and no request is lost.
source "$(dirname "$0")/common.sh"
scenario_open

replace() {
  vm_state "$1" leaving
  local rest
  mapfile -t rest < <(vm_names_but "$1")
  fabric_balancers "${rest[@]}"
  expect "$1 stops gracefully" vm_stop "$1"
  vm_state "$1" live
  vm_start "$1"
  vm_wait "$1"
  fabric_balancers "${VMS[@]}"
}

load_start 10000
sleep 2
replace agadir-a-1
sleep 2
replace taroudant-2
load_wait
cluster_check --min_whole_share=0.9 --max_unanswered=0 --max_unknown=0
