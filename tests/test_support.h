#ifndef EBONY_TESTS_TEST_SUPPORT_H_
#define EBONY_TESTS_TEST_SUPPORT_H_

#include <string>
#include <vector>

#include "control/control_state.h"
#include "core/domain.h"

namespace ebony::testing {

// A moment `ms` milliseconds after the start of a test's own time.
inline auto At(std::int64_t ms) -> mono_time {
  return mono_time(std::chrono::milliseconds(1000000 + ms));
}

inline auto MakeResident(const std::string& model,
                         std::uint64_t memory,
                         const std::string& version = "1") -> resident {
  return {{model_name(model), version_name(version)}, mebibytes(memory), {}};
}

inline auto MakeModel(const std::string& model,
                      std::uint64_t memory,
                      std::uint32_t replicas = 1,
                      const std::string& version = "1") -> model_spec {
  auto spec = model_spec();
  spec.key = {model_name(model), version_name(version)};
  spec.weights = mebibytes(memory);
  spec.min_replicas = replicas;
  return spec;
}

inline auto MakeRecord(const std::string& name,
                       std::uint64_t revision,
                       std::vector<model_spec> models) -> record_content {
  auto content = record_content();
  content.name = record_name(name);
  content.revision = revision_number(revision);
  content.models = std::move(models);
  return content;
}

inline auto MakeBackend(const std::string& name,
                        std::uint64_t run,
                        std::vector<std::uint64_t> capacities,
                        const std::string& site = "dc1")
    -> backend_announcement {
  auto state = backend_announcement();
  state.name = backend_name(name);
  state.address = host_port("127.0.0.1:1");
  state.data_centre = data_centre_name(site);
  state.run = incarnation(run);
  state.sequence = 1;
  state.slots = 4;
  state.checks_fencing = true;
  for (const auto capacity : capacities) {
    state.accelerators.push_back({mebibytes(capacity), {}, order_id()});
  }
  return state;
}

// Describes the exception that a handler has caught; a failed requirement of
// Boost.Test has printed itself.
inline auto GetCurrentError() -> std::string {
  try {
    throw;
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "a requirement failed";
  }
}

}  // namespace ebony::testing

#endif  // EBONY_TESTS_TEST_SUPPORT_H_
