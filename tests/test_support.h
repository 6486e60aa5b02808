#ifndef EBONY_TESTS_TEST_SUPPORT_H_
#define EBONY_TESTS_TEST_SUPPORT_H_

#include <string>
#include <vector>

#include "control/control_state.h"
#include "core/domain.h"

namespace ebony::testing {

// Returns the time `ms` milliseconds after the start of a test's simulated
// clock.
inline auto At(std::int64_t ms) -> mono_time {
  return mono_time(std::chrono::milliseconds(1000000 + ms));
}

// Returns a model with `memory` MiB and no adapters.
inline auto MakeResident(const std::string& model,
                         std::uint64_t memory,
                         const std::string& version = "1") -> resident {
  return {{model_name(model), version_name(version)}, mebibytes(memory), {}};
}

// Returns a model with `memory` MiB of weights.
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

// Returns the first announcement of a backend server whose accelerators have
// these capacities in MiB.
inline auto MakeBackend(const std::string& name,
                        std::uint64_t run,
                        std::vector<std::uint64_t> capacities,
                        const std::string& data_centre = "dc1")
    -> backend_announcement {
  auto announcement = backend_announcement();
  announcement.name = backend_name(name);
  announcement.address = host_port("127.0.0.1:1");
  announcement.data_centre = data_centre_name(data_centre);
  announcement.run = incarnation(run);
  announcement.sequence = 1;
  announcement.slots = 4;
  announcement.checks_fencing = true;
  for (const auto capacity : capacities) {
    announcement.accelerators.push_back({mebibytes(capacity), {}, order_id()});
  }
  return announcement;
}

// Describes the exception being handled. A failed BOOST_TEST_REQUIRE has no
// description, since Boost.Test has printed it.
inline auto GetCurrentError() -> std::string {
  try {
    throw;
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "a required check failed";
  }
}

}  // namespace ebony::testing

#endif  // EBONY_TESTS_TEST_SUPPORT_H_
