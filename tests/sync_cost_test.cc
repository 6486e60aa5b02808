#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>
#include <string>

#include "codec/site_codec.h"
#include "main/sync_relay.h"

namespace {

std::atomic<std::uint64_t> allocation_count{0};

}  // namespace

// Counts the allocations of the test program.
auto operator new(std::size_t size) -> void* {
  allocation_count.fetch_add(1, std::memory_order_relaxed);
  if (auto* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

auto operator delete(void* memory) noexcept -> void {
  std::free(memory);
}

auto operator delete(void* memory, std::size_t) noexcept -> void {
  std::free(memory);
}

namespace ebony::testing {

namespace {

// A relay that knows some servers, all of them with work of other gateways, and
// one gateway that syncs with it.
class relay_site {
  mono_time now_ = mono_time(std::chrono::hours(1));
  sync_relay relay_{vm_name("core-2"), [](std::uint64_t) { return 0U; }};
  registry_replica replica_;

 public:
  explicit relay_site(int servers) {
    auto registry = backend_registry(backend_registry_options());
    auto index = backend_index();
    auto answer = schema::sync_answer();
    answer.set_roster_source("leader/1");
    for (auto i = 0; i < servers; ++i) {
      auto status = backend_status();
      status.id = backend_name("server-with-a-long-name-" + std::to_string(i));
      status.service = service_name("models");
      status.sequence = 1;
      registry.Announce(status, now_);
      const auto number = index.Assign(status.id);
      AddLoad(*answer.mutable_loads(), number, 3, 100);
    }
    for (const auto* record : registry.ListSince(0)) {
      auto* row = answer.add_backends();
      *row = ToSchema(*record, now_);
      row->set_number(index.GetNumber(record->status.id));
    }
    answer.set_roster_revision(registry.get_revision());
    relay_.ApplyLeaderAnswer(answer, now_);
    Sync();
    Sync();
  }

  // Returns the number of allocations at the relay.
  auto Sync() -> std::uint64_t {
    auto request = schema::sync_request();
    request.set_vm("edge-1");
    replica_.FillRequest(request);
    auto answer = schema::sync_answer();
    const auto before = allocation_count.load();
    relay_.HandleGatewaySync(request, now_, now_);
    relay_.FillGatewayAnswer(request, answer, now_);
    const auto bytes = answer.SerializeAsString();
    const auto after = allocation_count.load();
    replica_.ApplyAnswer(answer, now_, [](const backend_record&) {});
    return after - before;
  }

  // Returns the same for a sync of the relay with the leader.
  auto BuildLeaderRequest() -> std::uint64_t {
    auto request = schema::sync_request();
    const auto before = allocation_count.load();
    relay_.FillLeaderRequest(request, now_);
    const auto bytes = request.SerializeAsString();
    return allocation_count.load() - before;
  }
};

constexpr auto kFewServers = 100;
constexpr auto kManyServers = 1600;
// Buffers that double until they hold a row for each server.
constexpr auto kGrowthOfBuffers = std::uint64_t{16};

}  // namespace

BOOST_AUTO_TEST_SUITE(sync_costs)

BOOST_AUTO_TEST_CASE(an_unchanged_sync_allocates_nothing_for_each_server) {
  auto few = relay_site(kFewServers);
  auto many = relay_site(kManyServers);
  BOOST_TEST(many.Sync() <= few.Sync() + kGrowthOfBuffers);
  BOOST_TEST(many.BuildLeaderRequest() <=
             few.BuildLeaderRequest() + kGrowthOfBuffers);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
