#!/usr/bin/env bash
# Checks that this tree is compatible with an earlier revision: externally visible
# names, data and settings written by the other build, and processes of both
# builds running together. Run by hand, after `make build`:
#   tests/compatibility/run.sh [REVISION] [SOAK_SEED...]
# The earlier revision is built in a git worktree of its own.
set -uo pipefail
cd "$(dirname "$0")/../.."
readonly REVISION=${1:-a8e8db1}
shift
readonly SEEDS=("${@:-1}")
readonly NEW_BIN=$(realpath "${BUILD:-build}")/bin
readonly WORK=$(mktemp -d)
readonly OLD=$WORK/old
readonly OLD_BIN=$OLD/build/bin
SITE_DIR=$WORK/site
mkdir "$SITE_DIR"
source deploy/local_site.sh
CONTROL_FLAGS=(--loads-at-once=4 --loads-per-second=20)
ENTRY_FLAGS=(--directory-ttl-ms=500 --key-lifetime-ms=3000
  --max-timeout-ms=3000 --default-timeout-ms=3000)
failures=0

clean_up() {
  stop_site
  git worktree remove --force "$OLD"
  rm -rf "$WORK"
}
trap clean_up EXIT

# Prints the result of a check and counts failures: NAME STATUS, 0 for success.
report() {
  if [ "$2" -eq 0 ]; then
    echo "passed: $1"
  else
    echo "FAILED: $1"
    failures=$((failures + 1))
  fi
}

# Runs a function of local_site.sh with the programs of one build:
# old|new FUNCTION [ARGUMENT...].
with_build() {
  local BIN=$NEW_BIN
  [ "$1" = old ] && BIN=$OLD_BIN
  shift
  "$@"
}

# Applies a copy of the example record under another name: BUILD NAME.
apply_record() {
  sed "s/head-office/$2/; s/fonds-drafter/drafter-$2/; s/record-abstracts/abstracts-$2/; s/_mib\": [0-9]*/_mib\": 10/" \
    deploy/example_record.json >"$SITE_DIR/$2.json"
  with_build "$1" ctl apply "$SITE_DIR/$2.json" --wait >/dev/null
}

# Starts three control VMs and entries on their data folders, and the backend
# servers. Arguments: the build of c1 and e1, of c2 and e2, of c3 and e3, and of
# the backend servers.
start_builds() {
  local i
  for i in 1 2 3; do
    with_build "${!i}" start_control "$i"
    with_build "${!i}" start_entry "$i"
  done
  with_build "$4" start_backends --engines=4 --service-servers=2 --load-ms=100 \
    --loads-per-second=20 --loads-at-full-speed=4
  BIN=$NEW_BIN
  wait_for_entries && wait_for 30 all_models_serve || return 1
  for i in 1 2 3; do wait_for 10 entry_grants_claims "$i" || return 1; done
}

# Sends load to the site for 6 s and checks every answer: BUILD of ebony_load.
check_load() {
  with_build "$1" eval '"$BIN/ebony_load"' --entries="$ENTRY_HTTP" --seconds=6 \
    --rate=60 --check --judge="$(admin_http)" --timeout-ms=750 --tokens=8 \
    >"$SITE_DIR/load.out" 2>&1
  local status=$?
  grep -E '^(sent|whole|refused|cut|unreached|wrong|doubled) ' "$SITE_DIR/load.out" |
    tr '\n' ';'
  echo
  return $status
}

# Prints the metric names of all control VMs and entries.
metric_names() {
  local i
  for i in 1 2 3; do
    curl -s "http://$(control_http "$i")/metrics"
    curl -s "http://$(entry_http "$i")/metrics"
  done | grep -oE '^[a-z0-9_]+' | sort -u
}

# Prints the flags of a program without their help texts.
flag_names() {
  "$1" --help 2>&1 | grep -oE -- '--[a-z-]+(=[A-Z]+)?' | sort -u
}

check_names() {
  python3 tests/compatibility/names.py check tests/compatibility/names.txt
  report "each listed name is in the sources" $?
  python3 tests/compatibility/names.py count "$OLD"
  report "literals without spaces match $REVISION" $?
  python3 tests/compatibility/names.py schema "$OLD"
  report "messages and settings match $REVISION" $?
  local program
  for program in ebony_control ebony_entry ebonyctl ebony_load ebony_burn \
    ebony_fake_backends; do
    diff <(flag_names "$OLD_BIN/$program") <(flag_names "$NEW_BIN/$program")
    report "flags of $program" $?
  done
  diff <(git -C "$OLD" show HEAD:docs/SETTINGS.md | cut -d'|' -f1-5) \
    <(cut -d'|' -f1-5 docs/SETTINGS.md)
  report "flags, variables, defaults and ranges of docs/SETTINGS.md" $?
}

check_data() {
  local i
  plan_site 3 3
  for i in 1 2 3; do with_build old init_control "$i"; done
  start_builds old old old old
  report "the old build starts" $?
  local name
  for name in first second third; do apply_record old "$name" || report "apply $name" 1; done
  with_build old ctl delete second >/dev/null
  local written
  written=$(with_build old ctl list)
  check_load old
  report "load on the old build" $?
  metric_names >"$SITE_DIR/metrics-old"
  stop_site

  start_builds new new new new
  report "the new build starts on data folders and flags of the old one" $?
  diff <(echo "$written") <(with_build new ctl list)
  report "the new build reads records written by the old one" $?
  check_load new
  report "load on the new build" $?
  # A series appears with its first event, so some may be missing in the new build.
  metric_names | sed -E 's/_(count|sum)$//' |
    grep -vxFf <(cat "$SITE_DIR/metrics-old" tests/compatibility/names.txt)
  report "each metric name is in the old build or on the list" $((${PIPESTATUS[2]} == 0))
  apply_record new fourth
  report "the new build accepts a change" $?
  written=$(with_build new ctl list)
  stop_site

  start_builds old old old old
  report "the old build starts on data folders of the new one" $?
  diff <(echo "$written") <(with_build old ctl list)
  report "the old build reads records written by the new one" $?
  stop_site
}

check_side_by_side() {
  start_builds old new old new
  report "c1, c3, e1, e3 of the old build with c2, e2 of the new one" $?
  check_load new
  report "load on both builds" $?
  apply_record old fifth && apply_record new sixth
  report "changes made with the tools of both builds" $?
  local leader name
  leader=$(leader_number)
  name=pid_c$leader
  kill -9 "${!name}"
  wait_for 20 has_leader && apply_record new seventh
  report "a change after the leader, c$leader, was killed" $?
  check_load old
  report "load on both builds after the kill" $?
  stop_site

  start_builds new old new old
  report "c1, c3, e1, e3 of the new build with c2, e2 of the old one" $?
  check_load old
  report "load on both builds, roles exchanged" $?
  stop_site
}

# Writes a wrapper program that alternates between the builds at each start of a
# process. The name of the process determines the build of its first start.
write_alternating() {
  cat >"$WORK/alternating/$1" <<WRAPPER
#!/bin/bash
folder=\${EBONYTHREAD_SETTINGS%/*}
starts=0
[ -f "\$folder/starts" ] && read -r starts <"\$folder/starts"
echo \$((starts + 1)) >"\$folder/starts"
name=\${folder##*/}
if (((starts + \${#name} + \${name: -1}) % 2)); then
  exec $OLD_BIN/$1
fi
exec $NEW_BIN/$1
WRAPPER
  chmod +x "$WORK/alternating/$1"
}

# Runs the soak with gateways and coordinators of both builds. Each restart
# changes the build, so each reads settings and data written by the other.
check_site_programs() {
  mkdir "$WORK/alternating"
  write_alternating ebony_coordinator
  write_alternating ebony_gateway
  local seed
  for seed in "${SEEDS[@]}"; do
    "$NEW_BIN/ebony_site_soak" "$WORK/alternating" "$seed" 20
    report "soak with alternating builds, seed $seed" $?
  done
}

git worktree add --detach "$OLD" "$REVISION" >/dev/null 2>&1 || exit 1
cmake -S "$OLD" -B "$OLD/build" -G Ninja >/dev/null
ninja -C "$OLD/build" -j "${JOBS:-4}" --quiet ebony_control ebony_entry \
  ebony_gateway ebony_coordinator ebonyctl ebony_load ebony_burn \
  ebony_fake_backends || exit 1
BASE_PORT=$(find_base_port)
BIN=$NEW_BIN
check_names
check_data
check_side_by_side
check_site_programs
echo "$failures failed"
[ "$failures" -eq 0 ]
