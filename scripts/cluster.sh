# Bash library that runs a complete deployment as local processes on loopback
# addresses 127.N.x.y. N is chosen so that concurrent runs never share an address.
#
#   source scripts/cluster.sh
#   cluster_open souss        # settings, platform, fabric and upstreams
#   cluster_start             # every VM, until each is ready
#   load_start 20000          # callers, which send requests for 20 s
#   ...                       # vm_kill, fabric_cut, patch_publish and the like
#   load_wait
#   cluster_check             # checks the results; takes flags of standin-checker
#
# FOXTAIL_RELAY=naive runs the naive relay instead of balancer and agent.
# FOXTAIL_KEEP=1 keeps the run's folder. All started processes are ended on exit.

CLUSTER_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CLUSTER_BIN=${BUILD_DIR:-$CLUSTER_ROOT/build}/bin
declare -A CLUSTER_PIDS=()
CLUSTER_GONE=()
CLUSTER_LEAVING=()

say() { printf '%6.1f s  %s\n' "$(cluster_age)" "$*"; }

now_ms() { date +%s%3N; }

cluster_age() { echo "$(($(now_ms) - CLUSTER_STARTED))" | awk '{print $1 / 1000}'; }

# Chooses a free second octet of the addresses, starting with one derived from the
# process id. The lock file is held by this shell and all processes that it starts.
cluster_choose_net() {
  local i
  for ((i = 0; i < 200; ++i)); do
    CLUSTER_NET=$((30 + ($$ + i) % 200))
    exec {CLUSTER_LOCK}>"${TMPDIR:-/tmp}/foxtail-net-$CLUSTER_NET.lock"
    flock -n "$CLUSTER_LOCK" && return
    exec {CLUSTER_LOCK}>&-
  done
  echo "no free loopback network" >&2
  return 1
}

# cluster_open DEPLOYMENT [JQ-FILTER]: starts platform, fabric and upstreams. The
# filter changes the deployment before the settings are derived from it.
cluster_open() {
  CLUSTER_STARTED=$(now_ms)
  CLUSTER_DIR=$(mktemp -d "${TMPDIR:-/tmp}/foxtail-run.XXXXXX")
  trap cluster_close EXIT
  trap 'exit 130' INT TERM
  cluster_choose_net
  mkdir -p "$CLUSTER_DIR/values" "$CLUSTER_DIR/logs" "$CLUSTER_DIR/vm"
  jq "${2:-.}" "$CLUSTER_ROOT/deploy/$1.json" >"$CLUSTER_DIR/deployment.json"
  jq --argjson net "$CLUSTER_NET" --arg dir "$CLUSTER_DIR" \
    --argjson seed "${FOXTAIL_SEED:-1}" -f "$CLUSTER_ROOT/scripts/layout.jq" \
    "$CLUSTER_DIR/deployment.json" >"$CLUSTER_DIR/layout.json"
  cluster_write_settings
  platform_start
  process_start fabric standin-fabric --settings="$CLUSTER_DIR/fabric.json"
  local domain
  for domain in $(layout '.upstreams[].domain'); do
    process_start "upstreams-$domain" standin-upstream \
      --settings="$CLUSTER_DIR/upstreams-$domain.json"
  done
  wait_http "$(layout .fabric.admin)/status"
  for domain in $(layout '.upstreams[].domain'); do
    wait_http "$(upstream_admin "$domain")/status"
  done
}

# layout JQ-FILTER: prints a part of the layout as plain text.
layout() { jq -r "$1" "$CLUSTER_DIR/layout.json"; }

cluster_write_settings() {
  local name
  layout .fabric >"$CLUSTER_DIR/fabric.json"
  for name in $(layout '.upstreams[].domain'); do
    layout ".upstreams[] | select(.domain == \"$name\")" >"$CLUSTER_DIR/upstreams-$name.json"
  done
  for name in $(layout '.vm_settings[].vm.name'); do
    layout ".vm_settings[] | select(.vm.name == \"$name\")" >"$CLUSTER_DIR/vm/$name.json"
  done
  layout .base | value_publish config.base
  echo '{"first": 0, "patches": []}' | value_publish config.patches
  layout '{vms: .vms}' | value_publish vms
}

# Ends all started processes, by process id.
cluster_close() {
  local status=$? name
  trap - EXIT
  # A signal to an ended process fails; the remaining processes must still be ended.
  set +e
  for name in "${!CLUSTER_PIDS[@]}"; do
    kill -CONT "${CLUSTER_PIDS[$name]}" 2>/dev/null
    kill -KILL "${CLUSTER_PIDS[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  if [ "${FOXTAIL_KEEP:-0}" = 1 ]; then
    echo "kept $CLUSTER_DIR"
  else
    rm -rf "$CLUSTER_DIR"
  fi
  exit "$status"
}

# process_start NAME PROGRAM ARGUMENTS...
process_start() {
  local name=$1
  "$CLUSTER_BIN/$2" "${@:3}" >>"$CLUSTER_DIR/logs/$name.log" 2>&1 &
  CLUSTER_PIDS[$name]=$!
}

# process_end NAME SIGNAL: signals a process and waits until it has ended; returns
# its exit status.
process_end() {
  local pid=${CLUSTER_PIDS[$1]} status=0
  unset "CLUSTER_PIDS[$1]"
  kill "-$2" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null || status=$?
  return "$status"
}

# wait_http ADDRESS/PATH [JQ-CONDITION]: waits until the address answers over HTTP
# and the condition holds for the answer. Tries 300 times, about 30 s, because the
# machine may be busy.
wait_http() {
  local i
  for ((i = 0; i < 300; ++i)); do
    curl -fsS -m 1 "http://$1" 2>/dev/null | jq -e "${2:-true}" >/dev/null 2>&1 && return
    sleep 0.1
  done
  echo "no answer from $1 with ${2:-true}" >&2
  tail -n 5 "$CLUSTER_DIR"/logs/*.log >&2
  return 1
}

post() { curl -fsS -m 10 -X POST -H 'Content-Type: application/json' -d "$2" "http://$1"; }

# --- Platform ---------------------------------------------------------------

platform_start() {
  process_start platform standin-platform --listen="$(layout .platform.listen)" \
    --dir="$CLUSTER_DIR/values" --admin="$(layout .platform.admin)"
  wait_http "$(layout .platform.listen)/v1/values/vms"
}

# value_publish NAME: publishes standard input. The file is replaced atomically, so
# that readers see either the old or the new value.
value_publish() {
  cat >"$CLUSTER_DIR/$1.new"
  mv "$CLUSTER_DIR/$1.new" "$CLUSTER_DIR/values/$1.json"
}

# patch_publish AGAINST OPERATIONS: appends one patch to the published list.
patch_publish() {
  jq --argjson against "$1" --argjson patch "$2" \
    '.patches += [{against: $against, patch: $patch}]' \
    "$CLUSTER_DIR/values/config.patches.json" | value_publish config.patches
}

# upstream_pointer NAME: prints the JSON pointer of an upstream in the first
# published configuration.
upstream_pointer() {
  layout ".base.config.services | to_entries[] | .key as \$s
    | .value.upstreams | to_entries[] | select(.value.name == \"$1\")
    | \"/services/\\(\$s)/upstreams/\\(.key)\""
}

# vm_state NAME live|leaving|gone: sets the state of a VM in the platform's list;
# `gone` removes the VM from the list.
vm_state() {
  jq --arg name "$1" --arg state "$2" \
    '.vms |= (map(if .name == $name then .state = $state else . end)
              | map(select(.state != "gone")))' \
    "$CLUSTER_DIR/values/vms.json" | value_publish vms
}

# platform_fault ok|down|stale|back|truncate; see standin-platform --help.
platform_fault() { post "$(layout .platform.admin)/fault?mode=$1" '' >/dev/null; }

# --- Fabric -----------------------------------------------------------------

fabric_cut() { post "$(layout .fabric.admin)/cut" "$1" >/dev/null; }

# fabric_balancers NAMES...: sets the balancers to which the fabric sends.
fabric_balancers() {
  local list
  list=$(layout ".fabric.balancers" |
    jq -c '[.[] | select(.name as $n | $ARGS.positional | index($n))]' --args "$@")
  post "$(layout .fabric.admin)/balancers" "$list" >/dev/null
}

vm_names() { layout '.vms[].name'; }

# vm_names_but NAMES...: prints the names of all other VMs.
vm_names_but() { vm_names | grep -vxF "$(printf '%s\n' "$@")"; }

# --- Upstreams --------------------------------------------------------------

upstream_admin() { layout ".upstreams[] | select(.domain == \"$1\").admin"; }

# upstream_fault NAME FAULTS: see standin-upstream --help.
upstream_fault() {
  local admin
  admin=$(layout ".upstreams[] | select(any(.upstreams[]; .name == \"$1\")).admin")
  post "$admin/fault" "$(jq -nc --arg name "$1" --argjson f "$2" '{upstream: $name} + $f')" >/dev/null
}

# upstream_drain NAME AGAINST: drains an upstream as its operators do, in the
# upstream's load report and by a patch of the configuration.
upstream_drain() {
  upstream_fault "$1" '{"drain": true}'
  patch_publish "$2" "[{\"op\": \"replace\", \"path\": \"$(upstream_pointer "$1")/draining\", \"value\": true}]"
  CLUSTER_LEAVING+=("$1@$(now_ms)")
}

# upstream_stop NAME: stops an upstream without notice.
upstream_stop() {
  CLUSTER_GONE+=("$1@$(now_ms)")
  upstream_fault "$1" '{"stop": true}'
}

# --- VMs --------------------------------------------------------------------

vm_start() {
  local settings="$CLUSTER_DIR/vm/$1.json"
  if [ "${FOXTAIL_RELAY:-}" = naive ]; then
    process_start "balancer-$1" standin-naive --settings="$settings"
    return
  fi
  process_start "agent-$1" foxtail-agent --settings="$settings"
  process_start "balancer-$1" foxtail-balancer --settings="$settings"
}

vm_wait() {
  [ "${FOXTAIL_RELAY:-}" = naive ] && return
  wait_http "$(vm_http "$1" agent)/status" '.joined and .config.number > 0'
  wait_http "$(vm_http "$1" balancer)/status" '.config.number > 0'
}

# vm_http NAME agent|balancer: the daemon's HTTP address.
vm_http() {
  layout ".vm_settings[] | select(.vm.name == \"$1\") | \"\(.vm.address):\(.ports.$2_http)\""
}

# vm_processes NAME: prints the names of the VM's running processes.
vm_processes() {
  local name
  for name in "balancer-$1" "agent-$1"; do
    [ -n "${CLUSTER_PIDS[$name]:-}" ] && echo "$name"
  done
  return 0
}

# vm_stop NAME: stops a VM gracefully, the balancer first, so that its agent still
# represents it to the peers while it stops.
vm_stop() {
  local name status=0
  for name in $(vm_processes "$1"); do
    process_end "$name" TERM || status=$?
  done
  return "$status"
}

vm_kill() {
  local name names
  names=$(vm_processes "$1")
  # Discards the shell's messages about killed jobs.
  {
    vm_signal "$1" KILL
    for name in $names; do
      process_end "$name" KILL || true
    done
  } 2>/dev/null
}

vm_signal() {
  local name
  for name in $(vm_processes "$1"); do
    kill "-$2" "${CLUSTER_PIDS[$name]}"
  done
}

vm_pause() { vm_signal "$1" STOP; }
vm_resume() { vm_signal "$1" CONT; }

# vm_version NAME: prints the configuration version of the VM's balancer, as
# NUMBER/DIGEST.
vm_version() {
  curl -fsS -m 5 "http://$(vm_http "$1" balancer)/status" |
    jq -r '"\(.config.number)/\(.config.digest)"'
}

# versions_reach NUMBER: waits until all running VMs have configuration version
# NUMBER with the same digest. An accepted configuration takes effect within
# seconds, so the wait is limited to 40 tries, about 20 s.
versions_reach() {
  [ "${FOXTAIL_RELAY:-}" = naive ] && return
  local i name seen
  for ((i = 0; i < 40; ++i)); do
    seen=$(for name in $(vm_names); do
      [ -n "${CLUSTER_PIDS[balancer-$name]:-}" ] && vm_version "$name"
    done | sort -u)
    [[ $seen != *$'\n'* && $seen == "$1"/* ]] && return
    sleep 0.5
  done
  echo "versions in force: $seen, wanted $1" >&2
  return 1
}

cluster_start() {
  local name
  for name in $(vm_names); do
    vm_start "$name"
  done
  for name in $(vm_names); do
    vm_wait "$name"
  done
  # The naive relay has no status page; the delay lets it fetch the configuration
  # from the platform once.
  [ "${FOXTAIL_RELAY:-}" = naive ] && sleep 2
  return 0
}

# --- Load and checks --------------------------------------------------------

# load_start MILLISECONDS [JQ-FILTER]: the filter changes the load's settings.
load_start() {
  layout .load | jq --argjson ms "$1" ".duration_ms = \$ms | ${2:-.}" >"$CLUSTER_DIR/load.json"
  process_start callers standin-caller --settings="$CLUSTER_DIR/load.json"
}

load_wait() {
  local pid=${CLUSTER_PIDS[callers]}
  unset "CLUSTER_PIDS[callers]"
  wait "$pid"
}

join_commas() { local IFS=,; echo "$*"; }

cluster_check() {
  "$CLUSTER_BIN/standin-checker" --reports="$CLUSTER_DIR/report.json" \
    --journals="$(join_commas "$CLUSTER_DIR"/journal-*.jsonl)" \
    --gone="$(join_commas "${CLUSTER_GONE[@]}")" \
    --leaving="$(join_commas "${CLUSTER_LEAVING[@]}")" "$@"
}
