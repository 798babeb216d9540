# Functions shared by the process tests; sourced by each scenario.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/cluster.sh"

# scenario_open [JQ-FILTER]: starts the deployment with a light load, because the
# result must not depend on how busy the machine is.
scenario_open() {
  cluster_open souss "${1:-.} |"'
    .services |= map(.load |= map_values(. * 0.5 | ceil))
    | .load.download_bytes = 100000 | .load.block_pause_ms = 20
    | .load.ack_timeout_ms = 500 | .load.settle_ms = 30000'
  cluster_start
  mapfile -t VMS < <(vm_names)
}

# Load peaks above the capacity of the ledger upstreams, callers that soon reuse
# their ports, and a fabric that drops, duplicates and reorders datagrams.
OVERLOAD='.services[0].times.request_us = 80000
  | .load.crests = {period_ms: 5000, length_ms: 2000, factor: 5}
  | .load.ports_per_ip = 256
  | .fabric += {drop: 0.01, duplicate: 0.05, jitter_ms: 10}'

# expect REASON COMMAND...: ends the test with the reason unless the command
# succeeds.
expect() {
  local what=$1
  shift
  "$@" || { echo "FAILED: $what"; exit 1; }
}

# vm_lost VM...: after two seconds the fabric learns that the VMs are gone, and
# then the platform's list of VMs.
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

# vm_replace VM: a planned replacement. The platform lists the VM as leaving, the
# fabric stops sending datagrams to it, and it stops gracefully before the new VM
# starts.
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
