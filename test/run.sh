#!/usr/bin/env bash
# Run all tests of a build folder; count cases, print failures, end with
# "N passed, N failed". Tests named in KNOWN-RED.txt are printed, not
# counted as failed.
set -u
build=${1:-build}
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top" || exit 1
passed=0 failed=0
known=""
[ -f KNOWN-RED.txt ] && known=$(cut -d: -f1 KNOWN-RED.txt)

is_known() {
	[ -n "$known" ] && printf '%s\n' "$known" | grep -qx "$1"
}

add() { # name, passed, failed, output file
	passed=$((passed + $2))
	if [ "$3" -gt 0 ]; then
		if is_known "$1"; then
			echo "KNOWN RED: $1"
			return
		fi
		failed=$((failed + $3))
		echo "FAILED: $1"
		tail -40 "$4"
	else
		echo "ok: $1 ($2)"
	fi
}

out=$(mktemp)
trap 'rm -f "$out"' EXIT

run() { # name, line of a passed case, of a failed one, command...
	name=$1 ok=$2 not_ok=$3
	shift 3
	"$@" >"$out" 2>&1
	rc=$?
	good=$(grep -c "$ok" "$out")
	bad=$(grep -c "$not_ok" "$out")
	[ "$rc" -ne 0 ] && [ "$bad" -eq 0 ] && bad=1
	add "$name" "$good" "$bad" "$out"
}

is_program() {
	case "$1" in *.o | *.d) return 1 ;; esac
	[ -x "$1" ]
}

for t in "$build"/test_*; do
	is_program "$t" && run "$(basename "$t")" '^\[       OK \]' \
		'^\[  FAILED  \] [a-z]' timeout 300 "$t"
done
export RC_PARAMS="seed=20261202 max_success=${PROP_RUNS:-1000} noshrink=0"
for t in "$build"/prop_*; do
	is_program "$t" && run "$(basename "$t")" '^OK, passed' \
		'^Falsifiable' timeout 600 "$t"
done
if [ "${PROCESSES:-1}" = 1 ]; then
	for t in test/proc_*.py test/fleet/scenarios.py test/fleet/soak.py; do
		[ -f "$t" ] && run "$(basename "$t")" '^ok ' '^FAILED ' \
			timeout 900 /usr/bin/python3 "$t" --build "$build"
	done
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
