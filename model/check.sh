#!/usr/bin/env bash
# Checks each specification exhaustively with spin, and checks that spin finds
# an assertion violation in each mutation of it. Prints PASS or FAIL and the
# number of states per check.
set -uo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Runs one variant: SPEC FLAGS. Prints "ERRORS STATES TRUNCATED"; ERRORS is x
# if the verifier did not finish, TRUNCATED counts reports of a search that was
# cut short by a limit.
explore() {
  local dir=$work/$1-${2//[^A-Za-z0-9_]/}
  mkdir -p "$dir"
  cp "$1.pml" "$dir"
  (
    cd "$dir" || exit
    spin -a $2 "$1.pml" >spin.log 2>&1 &&
      gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c >gcc.log 2>&1 &&
      timeout 240 ./pan -E -m2000000 >pan.log 2>&1 </dev/null
    local errors states truncated
    errors=$(grep -oP 'errors: \K[0-9]+' pan.log)
    states=$(grep -oP '[0-9.e+]+(?= states, stored)' pan.log | head -1 | tr -d ' ')
    truncated=$(grep -c 'max search depth too small\|pan: reached' pan.log)
    echo "${errors:-x} ${states:-0} $truncated"
  )
}

# Passes if the specification holds over its whole state space.
expect_holds() {
  read -r errors states truncated < <(explore "$1" "${2:-}")
  if [ "$errors" = 0 ] && [ "$truncated" = 0 ]; then
    echo "PASS model/$1${2:+/${2//-D/}}  (holds, $states states)"
  else
    echo "FAIL model/$1${2:+/${2//-D/}}  (errors $errors, truncated $truncated)"
  fi
}

# Passes if the verifier finds an error in the mutated specification.
expect_violation() {
  read -r errors states _ < <(explore "$1" "-D$2${3:+ $3}")
  if [ "$errors" != 0 ] && [ "$errors" != x ]; then
    echo "PASS model/$1/$2  (caught, $states states)"
  else
    echo "FAIL model/$1/$2  (errors $errors: not caught)"
  fi
}

# Runs one check in the background. The results are printed at the end, in the
# order in which the checks were started.
checks=0
check() {
  checks=$((checks + 1))
  "$@" >"$work/line.$(printf %03d $checks)" &
}

check expect_holds election "-DMAXTERM=3 -DMAXLOG=2"
check expect_holds election "-DMAXTERM=4 -DMAXLOG=1"
check expect_violation election MUTATION_VOTE_NOT_DURABLE
check expect_violation election MUTATION_COMMIT_OLD_TERM "-DMAXTERM=4 -DMAXLOG=1"
check expect_holds voter_replacement
check expect_violation voter_replacement MUTATION_SAME_IDENTITY
check expect_holds voter_swap
check expect_violation voter_swap MUTATION_ADD_FIRST
check expect_violation voter_swap MUTATION_REMOVE_FIRST
check expect_violation voter_swap MUTATION_NEW_SET_DECIDES
check expect_violation voter_swap MUTATION_LEARNER_AHEAD
wait
check expect_holds orders
check expect_holds orders -DFENCED
check expect_violation orders MUTATION_NO_HOLD
check expect_violation orders MUTATION_SEND_BEFORE_WRITE
wait
check expect_holds claims
check expect_violation claims MUTATION_ONE_IS_ENOUGH
check expect_violation claims MUTATION_RESTARTED_HOLDER_GRANTS
check expect_violation claims MUTATION_RELEASE_OF_ANY_ATTEMPT
check expect_holds config_lease
check expect_violation config_lease MUTATION_ACCEPT_WITHOUT_ENTRIES
check expect_violation config_lease MUTATION_NO_WAIT
check expect_violation config_lease MUTATION_BLANK_CONFIRMS
wait
cat "$work"/line.*
! grep -q '^FAIL' "$work"/line.*
