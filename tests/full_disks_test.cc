#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <filesystem>
#include <random>

#include "main/coordinator_daemon.h"
#include "platform/request_codec.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kMembers = 3;
constexpr auto kOk = 200;
// Ports below the range from which the kernel assigns ports to outgoing
// connections.
constexpr auto kFirstPort = 12000;
constexpr auto kPorts = 18000;
// Bytes that do not compress, so that a few changes make the members compact
// their logs.
constexpr auto kPaddingBytes = 100000;
// Operators expect an acknowledgement within this time.
constexpr auto kAckLimit = milliseconds(4000);

// Three real coordinators on loopback, whose disks can be full.
class coordinator_group {
  struct member {
    site_settings settings;
    bool is_full = false;
    std::unique_ptr<coordinator_daemon> daemon;
  };

  event_loop loop_;
  event_log log_{"test", 0};
  metrics counters_;
  http_pool pool_{loop_, &platform::DecodeAnsweredId};
  std::mt19937_64 random_{1};
  std::string folder_;
  std::vector<std::unique_ptr<member>> members_;
  std::uint64_t number_ = 0;

  // Some bytes still fit before a disk is full.
  static auto Write(const member& owner,
                    int fd,
                    const void* bytes,
                    std::size_t size) -> ssize_t {
    if (!owner.is_full) {
      return ::write(fd, bytes, size);
    }
    if (size > 1) {
      return ::write(fd, bytes, size / 2);
    }
    errno = ENOSPC;
    return -1;
  }

  auto MakeConfig(std::uint64_t number) -> std::string {
    auto padding = std::string();
    while (padding.size() < kPaddingBytes) {
      padding += std::to_string(random_());
    }
    return R"({"version":)" + std::to_string(number) + R"(,"note":")" +
           padding + R"(","routes":[],"services":[]})";
  }

 public:
  coordinator_group() {
    auto name = std::string("/tmp/ebony-disks-XXXXXX");
    folder_ = ::mkdtemp(name.data());
    const auto port = kFirstPort + static_cast<int>(std::random_device()() %
                                                    std::uint32_t{kPorts / 4}) *
                                       4;
    auto seeds = std::vector<host_port>();
    for (auto i = 1; i <= kMembers; ++i) {
      seeds.emplace_back("127.0.0." + std::to_string(i) + ":" +
                         std::to_string(port + 1));
    }
    for (auto i = 1; i <= kMembers; ++i) {
      members_.push_back(std::make_unique<member>());
      auto& item = *members_.back();
      auto& settings = item.settings;
      settings.ip = "127.0.0." + std::to_string(i);
      settings.vm = vm_name("core-" + std::to_string(i));
      settings.data_centre = data_centre_name("z1");
      settings.link_port = static_cast<std::uint16_t>(port);
      settings.operator_address = seeds[static_cast<std::size_t>(i - 1)];
      settings.directory_address =
          host_port(settings.ip + ":" + std::to_string(port + 2));
      settings.seeds = seeds;
      settings.is_bootstrap = true;
      settings.data_folder = folder_ + "/" + std::to_string(i);
      settings.tolerated_vm_losses = 1;
      settings.order_lease = milliseconds(3000);
      item.daemon = std::make_unique<coordinator_daemon>(
          settings, loop_, log_, counters_,
          [&item](int fd, const void* bytes, std::size_t size) {
            return Write(item, fd, bytes, size);
          });
      item.daemon->Open();
      item.daemon->Start();
    }
  }
  ~coordinator_group() {
    members_.clear();
    std::filesystem::remove_all(folder_);
  }
  coordinator_group(const coordinator_group&) = delete;
  auto operator=(const coordinator_group&) -> coordinator_group& = delete;

  auto SetFull(std::size_t member, bool is_full) -> void {
    members_.at(member)->is_full = is_full;
  }

  auto RunFor(duration time) -> void {
    const auto until = loop_.RefreshNow() + time;
    loop_.Run([&] { return loop_.get_now() >= until; });
  }

  // The operator sends the next change to each member in turn until one has
  // acknowledged it or `limit` has passed. Returns whether one has.
  auto Change(duration limit) -> bool {
    const auto body = MakeConfig(++number_);
    const auto until = loop_.RefreshNow() + limit;
    for (auto i = std::size_t{0}; loop_.get_now() < until; ++i) {
      const auto& to = members_[i % kMembers]->settings.operator_address;
      const auto status = std::make_shared<int>(0);
      const auto is_done = std::make_shared<bool>(false);
      auto hooks = call_hooks();
      hooks.on_head = [status](const http_head& head) {
        *status = head.status;
        return true;
      };
      hooks.on_body = [](std::string_view) {};
      hooks.on_complete = [is_done] { *is_done = true; };
      hooks.on_failed = [is_done](call_failure) { *is_done = true; };
      const auto call = pool_.Start(
          to,
          "PUT /api/config HTTP/1.1\r\nHost: h\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          false, MakeLinkOptions(), std::move(hooks));
      const auto wait_until =
          std::min(until, loop_.get_now() + milliseconds(1000));
      loop_.Run([&] { return *is_done || loop_.get_now() > wait_until; });
      if (*status == kOk) {
        return true;
      }
      call->Cancel();
      RunFor(milliseconds(20));
    }
    return false;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(full_disks)

BOOST_AUTO_TEST_CASE(changes_go_on_after_disks_were_full_one_after_another) {
  auto group = coordinator_group();
  BOOST_TEST(group.Change(kAckLimit));
  for (auto round = std::size_t{0}; round < 6; ++round) {
    group.SetFull(round % kMembers, true);
    const auto end = round < kMembers ? 4 : 12;
    for (auto change = 0; change < end; ++change) {
      BOOST_TEST(group.Change(kAckLimit));
    }
    group.RunFor(milliseconds(500));
    group.SetFull(round % kMembers, false);
  }
  for (auto change = 0; change < 20; ++change) {
    BOOST_TEST(group.Change(kAckLimit));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
