#!/usr/bin/env bash
# Checks the models with spin: each full model must have no error, and each variant,
# which lacks one safeguard, must show the violation named for it.
#
#   check.sh            run everything; the last line is 'N passed, N failed'
#   check.sh --trails   also rewrite trails/, the shortest violating schedule of each variant
#
# Everything is built in a temporary directory.  At most four checks run at once; one
# full ownership run and three others stay below 4 GB together.
set -u
cd "$(dirname "$0")" || exit 1
spec=$PWD
write_trails=0
[ "${1:-}" = --trails ] && write_trails=1
for tool in spin gcc; do
  command -v "$tool" >/dev/null || { echo "check.sh: $tool is not installed"; echo "0 passed, 1 failed"; exit 1; }
done
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT

# model | memory limit in MB | bounds
full_models() {
  cat <<'LIST'
ownership|2600|MAX_TIME=6 MAX_TERM=3 MAX_FENCE=2 MAX_RESTARTS=1 LEASE=2 DRIFT=1
server_lease|2600|MAX_TIME=5 MAX_TERM=3 MAX_FENCE=1 MAX_RESTARTS=0 LEASE=2 DRIFT=0
log|450|MAX_TERM=5 MAX_INDEX=6
configuration|450|MAX_TERM=3 MAX_GENERATION=1
LIST
}

# The full models with the name of the directory that each is built in.
named_models() { full_models | awk '{ print "full-" NR "|" $0 }'; }

# model | switch | words in the assertion that must be violated | bounds, small ones:
# a violation within them is one within the full bounds as well
variants() {
  cat <<'LIST'
ownership|NO_QUORUM_ROUND|server[0].holds|MAX_TIME=5 MAX_TERM=2 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|READING_AFTER_ROUND|server[0].holds|MAX_TIME=5 MAX_TERM=2 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_END_IN_SERVER_CLOCK|server[0].holds|MAX_TIME=6 MAX_TERM=1 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_LAPSE|server[0].holds|MAX_TIME=6 MAX_TERM=1 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_WAIT|server[0].holds|MAX_TIME=5 MAX_TERM=2 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_ELECTION_WAIT|server[0].holds|MAX_TIME=5 MAX_TERM=2 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_DRIFT_ALLOWANCE|server[0].holds|MAX_TIME=5 MAX_TERM=1 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=1
ownership|NO_COMMIT_BEFORE_GRANT|server[0].holds|MAX_TIME=5 MAX_TERM=2 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_TERM_ENTRY|server[0].holds|MAX_TIME=5 MAX_TERM=3 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_INCARNATION|server[0].holds|MAX_TIME=6 MAX_TERM=1 MAX_FENCE=1 MAX_RESTARTS=1 DRIFT=0
ownership|NO_FENCE|server[0].holds|MAX_TIME=5 MAX_TERM=1 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
server_lease|NO_GRANT_END|server[0].holds|MAX_TIME=5 MAX_TERM=2 MAX_FENCE=1 MAX_RESTARTS=0 DRIFT=0
ownership|NO_REVOKE_MATCH|server[0].holds|MAX_TIME=5 MAX_TERM=3 MAX_FENCE=1 MAX_RESTARTS=1 DRIFT=0
log|NO_MAJORITY|committed_term|MAX_TERM=4 MAX_INDEX=4
log|NO_LOG_COMPARISON|committed_term|MAX_TERM=4 MAX_INDEX=4
log|NO_TERM_ENTRY|committed_term|MAX_TERM=4 MAX_INDEX=4
log|REPLICA_KEEPS_IDENTITY|committed_term|MAX_TERM=4 MAX_INDEX=4
configuration|NO_CONDITIONAL_WRITE|stored_version|MAX_TERM=2 MAX_GENERATION=0
configuration|NO_READ_BACK|told|MAX_TERM=2 MAX_GENERATION=0
configuration|CONFLICT_MEANS_REFUSED|told|MAX_TERM=2 MAX_GENERATION=0
configuration|BASE_MEANS_REFUSED|told|MAX_TERM=2 MAX_GENERATION=0
configuration|NO_STORE_FIRST|committed_version|MAX_TERM=2 MAX_GENERATION=1
configuration|NO_TERM_CHECK|committed_version|MAX_TERM=2 MAX_GENERATION=0
configuration|NO_VERSION_ORDER|committed_version|MAX_TERM=2 MAX_GENERATION=0
configuration|NO_NODE_ORDER|in_force|MAX_TERM=2 MAX_GENERATION=0
LIST
}

# build DIRECTORY MODEL SPIN_FLAGS COMPILER_FLAGS
build() {
  mkdir -p "$1" && cd "$1" || return 1
  # shellcheck disable=SC2086
  spin $3 -a "$spec/$2.pml" >build.txt 2>&1 &&
    gcc -O2 -w -DSAFETY $4 -o pan pan.c >>build.txt 2>&1
}

# -D flags for a list of bounds.
defines() {
  local bound
  for bound in $1; do printf ' -D%s' "$bound"; done
}

field() { sed -n "s/$1/\1/p" pan.txt | head -1 | tr -d ' '; }

# report RESULT TEXT
report() { printf '%s %s\n' "$1" "$2" >result.txt; }

check_full() {
  local name=$1 model=$2 memory=$3 bounds=$4 flags
  flags=$(defines "$bounds")
  cd "$work" || return
  build "$work/$name" "$model" "$flags" "-DCOLLAPSE -DMEMLIM=$memory" ||
    { report FAIL "$model: does not build"; return; }
  ./pan -m10000 -w22 >pan.txt 2>&1
  local errors states depth seconds megabytes
  errors=$(field '.*errors: \([0-9]*\).*')
  states=$(field ' *\([0-9.e+]*\) states, stored.*')
  depth=$(field '.*depth reached \([0-9]*\).*')
  seconds=$(field 'pan: elapsed time \([0-9.]*\).*')
  megabytes=$(field ' *\([0-9.]*\).*total actual memory usage.*')
  local text="$model, full: $states states, depth $depth, $errors errors, $seconds s, $megabytes MB ($bounds)"
  # An exhaustive search without an error; a search cut short counts as a failure.
  if [ "$errors" = 0 ] && ! grep -q -e 'Search not completed' -e 'max search depth' -e 'out of memory' pan.txt; then
    report PASS "$text"
  else
    report FAIL "$text; $(grep -m1 '^pan:[0-9]' pan.txt)"
  fi
}

check_variant() {
  local model=$1 switch=$2 expected=$3 bounds=$4 flags
  flags="-D$switch$(defines "$bounds")"
  cd "$work" || return
  build "$work/$model-$switch" "$model" "$flags" "-DBFS -DMEMLIM=450" ||
    { report FAIL "$model, $switch: does not build"; return; }
  # Breadth first: the first violation found is a shortest one.
  ./pan -w20 >pan.txt 2>&1
  local violation states depth
  violation=$(grep -m1 '^pan:[0-9].*assertion violated' pan.txt)
  states=$(field ' *\([0-9.e+]*\) states, stored.*')
  depth=$(field '.*(at depth \([0-9]*\)).*')
  if [ -z "$violation" ]; then
    report FAIL "$model, $switch: no violation found ($states states; $(grep -m1 '^pan:[0-9]' pan.txt))"
  elif ! grep -qF "$expected" <<<"$violation"; then
    report FAIL "$model, $switch: another violation than expected: $violation"
  else
    report PASS "$model, $switch: violation found at depth $depth ($states states; $bounds)"
    {
      echo "# $model.pml with $switch: the shortest schedule that violates"
      sed -n 's/^pan:[0-9]*: assertion violated *\(.*\) (at depth.*/#   \1/p' pan.txt | head -1
      # shellcheck disable=SC2086
      spin $flags -t -T -k "$(basename "$(ls ./*.trail)")" "$spec/$model.pml" 2>/dev/null |
        sed -e '/^spin:/,$d'
    } >trail.txt
    [ "$write_trails" = 1 ] && cp trail.txt "$spec/trails/$model-$switch.txt"
  fi
}

mkdir -p trails
started=$SECONDS
is_large() { [ "$1" = ownership ] || [ "$1" = server_lease ]; }

# The two ownership models take most of the time and memory: one after the other.
{
  while IFS='|' read -r name model memory bounds; do
    is_large "$model" && (check_full "$name" "$model" "$memory" "$bounds")
  done < <(named_models)
} &
while IFS='|' read -r name model memory bounds; do
  is_large "$model" || check_full "$name" "$model" "$memory" "$bounds" &
done < <(named_models)
while IFS='|' read -r model switch expected bounds; do
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
  check_variant "$model" "$switch" "$expected" "$bounds" &
done < <(variants)
wait

passed=0
failed=0
expected=$(($(full_models | wc -l) + $(variants | wc -l)))
while IFS= read -r directory; do
  line=$(cat "$work/$directory/result.txt" 2>/dev/null || echo "FAIL $directory: not run")
  echo "$line"
  case $line in PASS*) passed=$((passed + 1)) ;; *) failed=$((failed + 1)) ;; esac
done < <(named_models | sed 's/|.*//'; variants | sed 's/^\([a-z_]*\)|\([A-Z_]*\)|.*/\1-\2/')
[ $((passed + failed)) = "$expected" ] || failed=$((failed + 1))
echo "elapsed: $((SECONDS - started)) s"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
