#!/usr/bin/env bash
# Tests the upstream and fabric stand-ins with a real CoAP client and with each
# other: answers, long downloads, shedding, deadlines and load reports.
source "$(dirname "$0")/common.sh"
export FOXTAIL_RELAY=naive
scenario_open

ask() { coap-client-notls -a "$(layout .load.local_ips[0])" -B 5 "$@" 2>&1; }
direct=$(layout '.upstreams[0].upstreams[0].address')
service=$(layout '.base.config.services[0].address')
name=$(layout '.upstreams[0].upstreams[0].name')
load() { curl -fsS "$(layout '.upstreams[0].upstreams[0].report_address')/load"; }

holds() { grep -q "$1" <<<"$2" || { echo "FAILED: no '$1' in: $2"; exit 1; }; }

holds "id=q1;path=balance/7" "$(ask "coap://$direct/balance/7?id=q1")"
holds "service=ledger" "$(ask "coap://$service/balance/7?id=q2")"
holds "id=q3" "$(ask -m post -e 'id=q3' "coap://$direct/post")"

ask -o "$CLUSTER_DIR/long" -b 0,1024 "coap://$direct/download/x/100000" >/dev/null
expect "a long download is complete" [ "$(stat -c %s "$CLUSTER_DIR/long")" = 100000 ]

# The deadline is in 1970, so the request must not start.
holds "not run: deadline" "$(ask -O 65002,0x01 "coap://$direct/balance/7?id=q4")"
upstream_fault "$name" '{"shed": true}'
holds "not run: overloaded" "$(ask "coap://$direct/balance/7?id=q5")"
for id in q4 q5; do
  grep -q "\"$id\"" "$CLUSTER_DIR"/journal-*.jsonl && { echo "FAILED: $id ran"; exit 1; }
done

upstream_fault "$name" '{"shed": false, "drain": true, "reported_in_flight": 9}'
holds '"draining":true' "$(load)"
holds '"in_flight":9' "$(load)"
echo "the stand-ins answer, shed and report as specified"
