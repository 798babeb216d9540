# What the process tests share. Sourced with the scenario's deployment open.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/cluster.sh"

# scenario_open [JQ-FILTER]: a light load, as the verdict must not depend on how
# busy the machine is.
scenario_open() {
  cluster_open souss "${1:-.} |"'
    .services |= map(.load |= map_values(. * 0.5 | ceil))
    | .load.download_bytes = 100000 | .load.block_pause_ms = 20
    | .load.ack_timeout_ms = 500 | .load.settle_ms = 30000'
  cluster_start
  mapfile -t VMS < <(vm_names)
}

# Crests above what the ledger upstreams can run, callers whose ports are soon
# used again, and a fabric that loses, repeats and reorders datagrams.
OVERLOAD='.services[0].times.request_us = 80000
  | .load.crests = {period_ms: 5000, length_ms: 2000, factor: 5}
  | .load.ports_per_ip = 256
  | .fabric += {drop: 0.01, duplicate: 0.05, jitter_ms: 10}'

# Fails with a reason unless the command succeeds.
expect() {
  local what=$1
  shift
  "$@" || { echo "FAILED: $what"; exit 1; }
}

# The fabric learns late that a VM is gone, and so does the platform's list.
vm_lost() {
  sleep 2
  local rest
  mapfile -t rest < <(vm_names_but "$@")
  fabric_balancers "${rest[@]}"
  local name
  for name in "$@"; do
    vm_state "$name" gone
  done
}

# A planned replacement: the platform lists the VM as leaving, the fabric sends
# it nothing more, and it ends by itself before the new one starts.
vm_replace() {
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
