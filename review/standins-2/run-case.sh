# Sourced by the run.sh of a case with the scenario's name as its argument.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
case_folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$case_folder/../.." && pwd)"
folder="$(mktemp -d)"
child=
clean_up() {
  if [ -n "$child" ]; then kill "$child" 2>/dev/null; wait "$child" 2>/dev/null; fi
  rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
for program in target/bin/foxtail-node target/review-2/case; do
  if [ ! -x "$root/$program" ]; then echo "$program is not built" >&2; exit 2; fi
done
"$root/target/review-2/case" "$1" --folder="$folder" --root="$root" \
  --record="$case_folder/record.txt" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
