#!/usr/bin/env bash
# Mutation test: applies the mutations of list.txt one at a time to a copy of
# the tree, and checks that the listed test fails for each. Prints
# `N caught, N missed`. With an argument, an extended regular expression, only
# the mutations whose name matches it.
set -uo pipefail
cd "$(dirname "$0")/../.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files --cached --others --exclude-standard | tar -cf - -T - | tar -xf - -C "$copy"
cmake -S "$copy" -B "$copy/build" -G Ninja >/dev/null
ninja -C "$copy/build" ebony_tests >"$copy/log" 2>&1 || { tail -20 "$copy/log"; exit 1; }

caught=0
missed=0
trim() { sed 's/^ *//; s/ *$//'; }
while IFS= read -r line; do
  [[ $line == \#* || -z $line ]] && continue
  name=$(cut -d'|' -f1 <<<"$line" | trim)
  [[ $name =~ ${1:-.} ]] || continue
  file=$(cut -d'|' -f2 <<<"$line" | trim)
  test=$(rev <<<"$line" | cut -d'|' -f1 | rev | trim)
  change=$(cut -d'|' -f3- <<<"$line" | rev | cut -d'|' -f2- | rev | trim)
  cp "$copy/$file" "$copy/original"
  perl -0pi -e "$change" "$copy/$file"
  if cmp -s "$copy/$file" "$copy/original"; then
    echo "MISSED $name: the mutation changes nothing"
    missed=$((missed + 1))
    continue
  fi
  if ! ninja -C "$copy/build" ebony_tests >"$copy/log" 2>&1; then
    echo "MISSED $name: does not build"
    missed=$((missed + 1))
  elif timeout 400 "$copy/build/ebony_tests" --run_test="$test" \
    --log_level=message >"$copy/log" 2>&1; then
    echo "MISSED $name: $test still passes"
    missed=$((missed + 1))
  else
    echo "caught $name: $(grep -m1 'cell failed\|error' "$copy/log" |
      sed 's/\x1b\[[0-9;]*m//g' | cut -c1-120)"
    caught=$((caught + 1))
  fi
  cp "$copy/original" "$copy/$file"
done < tests/mutations/list.txt
echo "$caught caught, $missed missed"
[ "$missed" -eq 0 ]
