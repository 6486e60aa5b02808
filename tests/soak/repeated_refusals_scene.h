#ifndef EBONY_TESTS_SOAK_REPEATED_REFUSALS_SCENE_H_
#define EBONY_TESTS_SOAK_REPEATED_REFUSALS_SCENE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace ebony::testing {

struct repeated_refusals_options {
  bool moves = false;       // servers appear under new ids at their addresses
  bool asks_again = false;  // callers send a rejected request again, as it was
};

// What was found in a scene.
struct scene_report {
  std::vector<std::string> violations;
  std::string counts;

  auto get_violations() const -> const std::vector<std::string>& {
    return violations;
  }
  auto Describe() const -> const std::string& { return counts; }
};

// Plays engines that refuse streams that may run once, and write some of the
// refusals a second time on the same connection. Checks that no request runs
// twice (TWICE), none that was rejected runs (REFUSED), and each answer is the
// request's own (MIXED).
auto PlayRepeatedRefusals(const std::string& program_dir,
                          std::uint64_t seed,
                          repeated_refusals_options options) -> scene_report;

}  // namespace ebony::testing

#endif  // EBONY_TESTS_SOAK_REPEATED_REFUSALS_SCENE_H_
