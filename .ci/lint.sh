#!/usr/bin/env bash
# Fails on a finding of clang-format or clang-tidy, or on generated files that
# do not match the schema.
set -uo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
status=0

mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  '*.cc' '*.h' | grep -v generated)
if ! clang-format --dry-run -Werror "${sources[@]}" 2>/tmp/format.$$; then
  grep -E 'error|warning' /tmp/format.$$ | head -20
  status=1
fi
rm -f /tmp/format.$$

# Names of the users' platform stay in platform/ and in tests.
leaks=$(printf '%s\n' "${sources[@]}" | grep -Ev '^(platform|tests)/' |
  xargs grep -lE 'Ebonythread-|EBONYTHREAD_|/api/|drainMs|beatAddr|targetLatencyMs|portRange|pathPrefix')
if [ -n "$leaks" ]; then
  echo "names of the platform outside platform/:"
  echo "$leaks"
  status=1
fi

generated=$(mktemp -d)
protoc --cpp_out="$generated" schema/*.proto
if ! diff -rq "$generated/schema" schema/generated/schema; then
  echo "schema/generated is out of date: run make generate"
  status=1
fi
rm -rf "$generated"

if ! "$BUILD/bin/ebony_settings_page" | diff -q - docs/SETTINGS.md; then
  echo "docs/SETTINGS.md is out of date: run make settings-page"
  status=1
fi

mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
findings=$(printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$BUILD" --quiet 2>/dev/null |
  grep -E 'error:|warning:' | sort -u)
if [ -n "$findings" ]; then
  echo "$findings"
  status=1
fi
[ $status -eq 0 ] && echo "lint: no finding"
exit $status
