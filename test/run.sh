#!/usr/bin/env bash
# Runs all tests of a build directory, prints the failed cases, and ends with
# "N passed, N failed". Cases listed in KNOWN-RED.txt ("PROGRAM/CASE: cause;
# issue", one per line, at most three) are printed but not counted as failed.
# Other cases of the same program are counted, and a listed case that passes
# is a failure.
set -u
build=${1:-build}
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top" || exit 1
passed=0 failed=0
known=""
KNOWN_MAX=3
[ -f KNOWN-RED.txt ] && known=$(cut -d: -f1 KNOWN-RED.txt)

is_known() {
	[ -n "$known" ] && printf '%s\n' "$known" | grep -qxF "$1"
}

fail() { # what, reason
	echo "FAILED: $1${2:+: $2}"
	bad=$((bad + 1))
}

logs=$(mktemp -d)
cases=$logs/cases
trap 'rm -rf "$logs"' EXIT
JOBS=${JOBS:-$(nproc)}

# Prints the names of failed cases without duplicates, since a runner may print
# a case twice. A soak's case is its seed ("seed-7"), a property's is its text
# with dashes.
failed_cases() { # pattern
	awk -v pattern="$1" '
	/^- / { property = substr($0, 3); gsub(/[ ,"]+/, "-", property) }
	$0 ~ pattern {
		if ($0 ~ /^Falsifiable/) { print property; next }
		sub(/^\[  FAILED  \] /, ""); sub(/^FAILED /, "")
		sub(/^seed /, "seed-"); sub(/[: ].*/, "")
		print
	}' "$out" | sort -u
}

# True if a program's exit is not explained by its failed cases: a sanitizer's
# report, a teardown error or an exception.
exit_is_unexplained() { # exit status, failed cases
	[ "$1" -ge 124 ] && return 0
	grep -q '^Traceback' "$out" && return 0
	grep -qE 'ERROR: (Address|Leak)Sanitizer|runtime error:' "$out" &&
		return 0
	case "$name" in
	test_*) [ "$1" -ne "$2" ] ;;
	*) [ "$1" -ne $(($2 > 0)) ] ;;
	esac
}

known_but_passed() {
	printf '%s\n' "$known" | grep "^$name/" | while read -r k; do
		grep -qxF "${k#*/}" "$cases" || echo "$k"
	done
}

# Programs that share no port, file or timing run in parallel. Their output is
# evaluated afterwards in a fixed order, so that the report doesn't depend on
# which of them ends first.
start() { # name, command...
	log=$logs/$1
	shift
	while [ "$(jobs -rp | wc -l)" -ge "$JOBS" ]; do
		wait -n
	done
	(
		from=$(date +%s)
		"$@" >"$log.out" 2>&1
		echo "$? $(($(date +%s) - from))" >"$log.end"
	) &
}

report() { # name, pattern of a passed case, of a failed case
	name=$1
	out=$logs/$1.out
	read -r rc seconds <"$logs/$1.end"
	good=$(grep -c "$2" "$out")
	failed_cases "$3" >"$cases"
	n=$(wc -l <"$cases")
	bad=0
	while read -r c; do
		if is_known "$name/$c"; then
			echo "KNOWN RED: $name/$c"
		else
			fail "$name/$c"
		fi
	done <"$cases"
	if [ "$bad" -eq 0 ] && exit_is_unexplained "$rc" "$n"; then
		fail "$name" "exit status $rc, $n failed cases"
	fi
	for k in $(known_but_passed); do
		fail "$k" "listed in KNOWN-RED.txt, but it passes"
	done
	passed=$((passed + good))
	failed=$((failed + bad))
	if [ "$bad" -gt 0 ]; then
		tail -40 "$out"
	else
		echo "ok: $name ($good, $seconds s)"
	fi
}

programs() { # pattern
	for t in "$build"/$1; do
		case "$t" in *.o | *.d) continue ;; esac
		[ -x "$t" ] && echo "$t"
	done
}

export RC_PARAMS="seed=20261202 max_success=${PROP_RUNS:-1000} noshrink=0"
if [ "${PROGRAMS:-1}" = 1 ]; then
	# The longest programs start first, so that none runs alone at the end.
	for t in $(programs 'prop_*'); do
		start "$(basename "$t")" timeout 600 "$t"
	done
	for t in $(programs 'test_*'); do
		start "$(basename "$t")" timeout 300 "$t"
	done
	wait
	for t in $(programs 'test_*'); do
		report "$(basename "$t")" '^\[       OK \]' '^\[  FAILED  \] [a-z]'
	done
	for t in $(programs 'prop_*'); do
		report "$(basename "$t")" '^OK, passed' '^Falsifiable'
	done
fi
# Runs a program as several parts in parallel, evaluated as one.
in_parts() { # number, command...
	n=$1
	shift
	dir=$(mktemp -d "$logs/parts.XXXXXX")
	pids="" rc=0
	for k in $(seq "$n"); do
		"$@" --part "$k/$n" >"$dir/$k" 2>&1 &
		pids="$pids $!"
	done
	for p in $pids; do
		wait "$p" || rc=$?
	done
	cat "$dir"/*
	return "$rc"
}

# Tests of real processes depend on real time: only those that leave most
# processors idle run in parallel; the soak, with hundreds of processes, alone.
if [ "${PROCESSES:-1}" = 1 ]; then
	python="timeout 900 /usr/bin/python3"
	for t in test/proc_*.py; do
		start "$(basename "$t")" $python "$t" --build "$build"
	done
	start scenarios.py in_parts 3 $python test/fleet/scenarios.py \
		--build "$build"
	wait
	start soak.py $python test/fleet/soak.py --build "$build"
	wait
	for t in test/proc_*.py test/fleet/scenarios.py test/fleet/soak.py; do
		report "$(basename "$t")" '^ok ' '^FAILED '
	done
fi
if [ "$(printf '%s' "$known" | grep -c .)" -gt "$KNOWN_MAX" ]; then
	echo "FAILED: KNOWN-RED.txt names more than $KNOWN_MAX cases"
	failed=$((failed + 1))
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
