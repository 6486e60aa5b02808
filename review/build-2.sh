#!/bin/bash
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins-2 \
    "review/$number/case.cpp" review/standins-2/review_site.cpp \
    -o "target/review-2/case-$number"
done
