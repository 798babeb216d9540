#!/usr/bin/env bash
# Tests the checker itself: each case below is one journal of requests that ran,
# and the promise that the checker must report as broken ("" for none).
set -euo pipefail
bin=${BUILD_DIR:-$(cd "$(dirname "$0")/../.." && pwd)/build}/bin
dir=$(mktemp -d "${TMPDIR:-/tmp}/foxtail-checker.XXXXXX")
trap 'rm -rf "$dir"' EXIT

# run ID SERVICE POST: one journal line.
run() {
  echo "{\"at_ms\": 1, \"service\": \"$2\", \"upstream\": \"$2-1\", \"post\": $3, \"id\": \"$1\"}"
}

# report TOLD-LIST [JQ-FILTER]: the callers' report, with the outcomes that the
# callers were told.
report() {
  jq -n --argjson told "$1" '
    def kind($k): [$told[] | select(.kind == $k)] as $t
      | {sent: ($t | length), wait_p50_ms: 1, wait_p99_ms: 2}
        + ([("whole", "refused", "retry", "unknown", "no_answer", "wrong") as $o
            | {($o): ([$t[] | select(.told == $o)] | length)}] | add);
    {kinds: {lookup: kind("lookup"), posting: kind("posting"), download: kind("download")},
     counters: {}, last_new_flow: {}, moved_flows: [], broken_downloads: [],
     wrong: [], told: $told}' | jq "${2:-.}"
}

told() { echo "[{\"id\": \"a\", \"kind\": \"$1\", \"service\": \"ledger\", \"told\": \"$2\"}]"; }

# expect NAME BROKEN-PROMISE: runs the checker with the journal from standard
# input; fails unless the checker reports exactly this promise as broken.
expect() {
  cat >"$dir/journal"
  local status=0
  "$bin/standin-checker" --reports="$dir/report" --journals="$dir/journal" \
    --min_whole_share=0 --gone=ledger-9@100 --leaving=ledger-8@100 \
    >"$dir/out" || status=$?
  local wanted=0 broken
  [ -z "$2" ] || wanted=1
  broken=$(grep -o '^BROKEN  [^:]*' "$dir/out" | sed 's/^BROKEN  //' || true)
  if [ "$status" != "$wanted" ] || [ "$broken" != "$2" ]; then
    echo "FAILED: $1: exit $status, broken '$broken', wanted '$2'"
    cat "$dir/out"
    exit 1
  fi
}

moved() { echo ".moved_flows = [{\"from\": \"$1\", \"to\": \"x\", \"ended_ms\": $2}]"; }
last_new_flow() { echo ".last_new_flow = {\"ledger-8\": {\"sent_ms\": $1, \"caller\": \"c\"}}"; }

report "$(told posting whole)" >"$dir/report"
run a ledger true | expect "run once and answered" ""
{ run a ledger true; run a ledger true; } | expect "run twice" "postings run twice"
: | expect "answered only" "answered, but not run"
run a statements true | expect "another service" "run at another service"
{ run a ledger true; run b ledger true; } | expect "unknown id" "run, but never sent"
report "$(told posting refused)" >"$dir/report"
: | expect "refused and not run" ""
run a ledger true | expect "refused and run" "told 'not run', but ran"
report "$(told posting unknown)" >"$dir/report"
run a ledger true | expect "unknown and run" ""
: | expect "unknown and not run" ""
report "$(told lookup whole)" >"$dir/report"
{ run a ledger false; run a ledger false; } | expect "a lookup may run twice" ""
report "$(told lookup retry)" >"$dir/report"
run a ledger false | expect "told to ask again, and run" ""
report "$(told lookup wrong)" >"$dir/report"
run a ledger false | expect "wrong content" "wrong answers"
report '[]' "$(moved ledger-1 200)" >"$dir/report"
: | expect "moved from a running upstream" "broken flows"
report '[]' "$(moved ledger-9 200)" >"$dir/report"
: | expect "moved from an upstream that had ended" ""
report '[]' "$(moved ledger-9 50)" >"$dir/report"
: | expect "moved before the upstream ended" "broken flows"
report '[]' '.broken_downloads = [{"id": "a"}]' >"$dir/report"
: | expect "download truncated" "broken flows"
report '[]' "$(last_new_flow 5000)" >"$dir/report"
: | expect "new flow within the grace time" ""
report '[]' "$(last_new_flow 5200)" >"$dir/report"
: | expect "new flow on a leaving upstream" "new flows on a leaving upstream"
echo "the checker reports every broken promise"
