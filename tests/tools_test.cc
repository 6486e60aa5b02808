#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>

#include "drivers/disk_store.h"
#include "entry/admission_queue.h"
#include "entry/sse_reader.h"
#include "tests/test_support.h"
#include "tools/burn_report.h"

#include <filesystem>
#include <fstream>

#include "core/error_kind.h"

namespace ebony::testing {

namespace {

auto MakeEvent(std::uint64_t id, const std::string& data) -> sse_event {
  auto event = sse_event();
  event.id = id;
  event.data = data;
  return event;
}

// A temporary folder that is deleted at the end of its scope.
class temporary_folder {
  std::filesystem::path path_;

 public:
  temporary_folder() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "ebony-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~temporary_folder() { std::filesystem::remove_all(path_); }
  temporary_folder(const temporary_folder&) = delete;
  auto operator=(const temporary_folder&) -> temporary_folder& = delete;

  auto GetFile(const std::string& name) const -> std::string {
    return (path_ / name).string();
  }
  auto get_path() const -> std::string { return path_.string(); }
};

auto MakeEntry(std::uint64_t index) -> log_entry {
  auto entry = log_entry();
  entry.term = term_number(1);
  entry.index = log_index(index);
  entry.payload = "payload " + std::to_string(index);
  return entry;
}

// Writes a log of three entries, each persisted by a write of its own.
auto WriteLog(const std::string& folder) -> disk_identity {
  const auto identity =
      disk_identity{node_id("c1.first"), {{node_id("c1.first")}, {}}};
  auto store = disk_store(folder);
  store.Create(identity);
  store.Load(identity);
  for (auto index = std::uint64_t{1}; index <= 3; ++index) {
    auto ready = raft_ready();
    ready.hard = hard_state{term_number(1), node_id("c1.first")};
    ready.append = {MakeEntry(index)};
    store.Persist(ready);
  }
  return identity;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(disk_store_test)

BOOST_AUTO_TEST_CASE(a_log_truncated_at_any_byte_keeps_its_complete_frames) {
  const auto original = temporary_folder();
  const auto identity = WriteLog(original.get_path());
  const auto size = std::filesystem::file_size(original.GetFile("log"));
  const auto frame = size / 3;
  for (auto length = std::uintmax_t{0}; length <= size; ++length) {
    const auto folder = temporary_folder();
    std::filesystem::copy(original.get_path(), folder.get_path(),
                          std::filesystem::copy_options::recursive);
    std::filesystem::resize_file(folder.GetFile("log"), length);
    auto store = disk_store(folder.get_path());
    const auto image = store.Load(identity);
    BOOST_REQUIRE_EQUAL(image.entries.size(), length / frame);
  }
}

BOOST_AUTO_TEST_CASE(corruption_before_the_last_frame_fails_the_load) {
  const auto original = temporary_folder();
  const auto identity = WriteLog(original.get_path());
  const auto size = std::filesystem::file_size(original.GetFile("log"));
  for (auto at = std::uintmax_t{0}; at < size / 3 * 2; ++at) {
    const auto folder = temporary_folder();
    std::filesystem::copy(original.get_path(), folder.get_path(),
                          std::filesystem::copy_options::recursive);
    {
      auto file = std::fstream(folder.GetFile("log"),
                               std::ios::in | std::ios::out | std::ios::binary);
      file.seekg(static_cast<std::streamoff>(at));
      const auto byte = static_cast<char>(file.get() ^ 0x40);
      file.seekp(static_cast<std::streamoff>(at));
      file.put(byte);
    }
    auto store = disk_store(folder.get_path());
    BOOST_REQUIRE_THROW(store.Load(identity), ebony_error);
  }
}

// A power failure during a write may persist the end of the last frame without
// its start. Such a frame was never acknowledged, so loading drops it.
BOOST_AUTO_TEST_CASE(a_last_frame_without_its_start_is_truncated) {
  const auto original = temporary_folder();
  const auto identity = WriteLog(original.get_path());
  const auto frame = std::filesystem::file_size(original.GetFile("log")) / 3;
  for (auto lost_bytes = std::uintmax_t{1}; lost_bytes < frame; ++lost_bytes) {
    const auto folder = temporary_folder();
    std::filesystem::copy(original.get_path(), folder.get_path(),
                          std::filesystem::copy_options::recursive);
    {
      auto file = std::fstream(folder.GetFile("log"),
                               std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(static_cast<std::streamoff>(frame * 2));
      file << std::string(lost_bytes, '\0');
    }
    auto store = disk_store(folder.get_path());
    BOOST_REQUIRE_EQUAL(store.Load(identity).entries.size(), 2U);
  }
}

// The disk fills up in the middle of a frame, after each possible number of
// bytes, and a retry of the same write succeeds. The partial frame must not
// remain in the log.
BOOST_AUTO_TEST_CASE(a_failed_write_leaves_no_partial_frame) {
  for (auto accepted_bytes = std::size_t{0}; accepted_bytes < 40;
       ++accepted_bytes) {
    const auto folder = temporary_folder();
    const auto identity = WriteLog(folder.get_path());
    auto is_full = true;
    auto left = accepted_bytes;
    auto ready = raft_ready();
    ready.append = {MakeEntry(4)};
    {
      auto store = disk_store(
          folder.get_path(),
          [&](int fd, const void* bytes, std::size_t size) -> ssize_t {
            if (!is_full) {
              return ::write(fd, bytes, size);
            }
            if (left == 0) {
              errno = ENOSPC;
              return -1;
            }
            const auto count = ::write(fd, bytes, std::min(left, size));
            left -= static_cast<std::size_t>(count);
            return count;
          });
      store.Load(identity);
      BOOST_REQUIRE_THROW(store.Persist(ready), ebony_error);
      is_full = false;
      store.Persist(ready);
      ready.append = {MakeEntry(5)};
      store.Persist(ready);
    }
    auto store = disk_store(folder.get_path());
    BOOST_REQUIRE_EQUAL(store.Load(identity).entries.size(), 5U);
  }
}

BOOST_AUTO_TEST_CASE(
    a_snapshot_newer_than_the_log_drops_the_entries_it_covers) {
  const auto folder = temporary_folder();
  const auto identity = WriteLog(folder.get_path());
  const auto log = folder.GetFile("log");
  const auto kept = folder.GetFile("kept");
  std::filesystem::copy(log, kept);
  {
    auto store = disk_store(folder.get_path());
    store.Load(identity);
    auto snap = snapshot();
    snap.index = log_index(2);
    snap.term = term_number(1);
    snap.group = identity.group;
    snap.state = "state";
    store.Compact(snap, {MakeEntry(3)});
  }
  // Simulates a crash between the renames of the snapshot and of the log.
  std::filesystem::rename(kept, log);
  auto store = disk_store(folder.get_path());
  const auto image = store.Load(identity);
  BOOST_TEST(image.snap.index.get() == 2U);
  BOOST_REQUIRE_EQUAL(image.entries.size(), 1U);
  BOOST_TEST(image.entries[0].index.get() == 3U);
}

BOOST_AUTO_TEST_CASE(an_identity_is_created_once) {
  const auto folder = temporary_folder();
  const auto identity = WriteLog(folder.get_path());
  auto store = disk_store(folder.get_path());
  BOOST_CHECK_THROW(store.Create(identity), ebony_error);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sse_test)

BOOST_AUTO_TEST_CASE(any_split_of_the_bytes_yields_the_same_events) {
  const auto text = std::string(
      "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\n"
      ": comment\n\ndata: [DONE]\r\n\r\nid: 9\ndata: cut");
  for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
    auto events = std::vector<sse_event>();
    const auto append_event = [&events](const sse_event& event) {
      events.push_back(event);
    };
    auto reader = sse_reader();
    reader.Feed(text.substr(0, cut), append_event);
    reader.Feed(text.substr(cut), append_event);
    BOOST_REQUIRE_EQUAL(events.size(), 4U);
    BOOST_REQUIRE((events[0].id == 1U));
    BOOST_REQUIRE_EQUAL(events[1].data, "two\nmore");
    BOOST_REQUIRE_EQUAL(events[3].data, "[DONE]");
  }
}

BOOST_AUTO_TEST_CASE(random_bytes_yield_a_prefix_of_the_input) {
  auto random = std::mt19937_64(7);
  const auto alphabet = std::string("data:id \n\r[DONE]\0x", 18);
  for (auto round = 0; round < 2000; ++round) {
    auto reader = sse_reader();
    auto text = std::string();
    auto forwarded = std::string();
    for (auto i = 0; i < 200; ++i) {
      text.push_back(alphabet[random() % alphabet.size()]);
    }
    reader.Feed(
        text, [&forwarded](const sse_event& event) { forwarded += event.raw; });
    // The forwarded bytes are a prefix of the input.
    BOOST_REQUIRE(text.rfind(forwarded, 0) == 0);
  }
}

BOOST_AUTO_TEST_CASE(only_a_whole_number_is_an_id) {
  const auto get_id = [](const std::string& line) {
    auto id = std::optional<std::uint64_t>();
    sse_reader().Feed(line + "\ndata: x\n\n",
                      [&id](const sse_event& event) { id = event.id; });
    return id;
  };
  BOOST_TEST((get_id("id: 0") == 0U));
  BOOST_TEST((get_id("id:7") == 7U));
  for (const auto* line : {"id", "id:", "id: x", "id: 7x", "id: -1", "idx: 7",
                           "id: 99999999999999999999"}) {
    BOOST_TEST(!get_id(line).has_value());
  }
}

BOOST_AUTO_TEST_CASE(text_between_blank_lines_is_no_event) {
  const auto is_event = [](const std::string& block) {
    auto result = false;
    sse_reader().Feed(block + "\n\n", [&result](const sse_event& event) {
      result = event.is_event;
    });
    return result;
  };
  for (const auto* block :
       {"data: x", "data", "id: 1", ": comment", "event: e\r", "retry: 5",
        "ebonythread-weight-versions: 3\ndata: x"}) {
    BOOST_TEST(is_event(block), block);
  }
  for (const auto* block : {"<p>Error</p>", "dat: x", "Data: x", " data: x"}) {
    BOOST_TEST(!is_event(block), block);
  }
}

// Guards against text of a faulty engine that stands for an event without data.
BOOST_AUTO_TEST_CASE(events_without_data_are_replayed_exactly) {
  const auto make = [](const std::string& raw) {
    auto event = sse_event();
    event.raw = raw;
    return event;
  };
  auto deduplicator = stream_deduplicator();
  deduplicator.StartAttempt(0);
  BOOST_TEST(deduplicator.Accept(make("<p>Error</p>\n\n")));
  deduplicator.StartAttempt(0);
  BOOST_TEST(!deduplicator.Accept(make(": comment\n\n")));
  BOOST_TEST(deduplicator.has_replay_mismatch());
}

BOOST_AUTO_TEST_CASE(a_replay_delivers_each_event_once) {
  auto deduplicator = stream_deduplicator();
  deduplicator.StartAttempt(0);
  BOOST_TEST(deduplicator.Accept(MakeEvent(1, "a")));
  BOOST_TEST(deduplicator.Accept(MakeEvent(2, "b")));
  deduplicator.StartAttempt(0);
  BOOST_TEST(!deduplicator.Accept(MakeEvent(1, "a")));
  BOOST_TEST(!deduplicator.Accept(MakeEvent(2, "b")));
  BOOST_TEST(deduplicator.Accept(MakeEvent(3, "[DONE]")));
  BOOST_TEST(deduplicator.is_done());
  BOOST_TEST(!deduplicator.has_replay_mismatch());
}

BOOST_AUTO_TEST_CASE(a_replay_that_differs_is_a_mismatch) {
  auto deduplicator = stream_deduplicator();
  deduplicator.StartAttempt(0);
  deduplicator.Accept(MakeEvent(1, "a"));
  deduplicator.StartAttempt(0);
  deduplicator.Accept(MakeEvent(1, "other"));
  BOOST_TEST(deduplicator.has_replay_mismatch());
  BOOST_TEST(!deduplicator.Accept(MakeEvent(2, "b")));
}

BOOST_AUTO_TEST_CASE(a_resumed_attempt_continues_after_the_delivered_events) {
  auto deduplicator = stream_deduplicator();
  deduplicator.StartAttempt(0);
  deduplicator.Accept(MakeEvent(1, "a"));
  deduplicator.StartAttempt(1);
  BOOST_TEST(deduplicator.Accept(MakeEvent(2, "b")));
  auto skipped = stream_deduplicator();
  skipped.StartAttempt(3);
  BOOST_TEST(skipped.has_replay_mismatch());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admission_test)

BOOST_AUTO_TEST_CASE(a_burst_of_one_caller_does_not_starve_another) {
  auto queue = admission_queue(100);
  auto dropped = std::optional<waiting_request>();
  for (auto i = std::uint64_t{1}; i <= 50; ++i) {
    queue.Add({request_id(i), caller_name("burst"), priority_class::interactive,
               At(1000)},
              dropped);
  }
  queue.Add({request_id(99), caller_name("other"), priority_class::interactive,
             At(1000)},
            dropped);
  const auto any = [](const waiting_request&) { return true; };
  const auto first = queue.Pick(any);
  const auto second = queue.Pick(any);
  BOOST_TEST((first->id == request_id(99) || second->id == request_id(99)));
}

BOOST_AUTO_TEST_CASE(urgent_goes_first_and_batch_still_progresses) {
  auto queue = admission_queue(1000);
  auto dropped = std::optional<waiting_request>();
  for (auto i = std::uint64_t{1}; i <= 100; ++i) {
    queue.Add(
        {request_id(i), caller_name("a"), priority_class::urgent, At(1000)},
        dropped);
    queue.Add({request_id(1000 + i), caller_name("b"), priority_class::batch,
               At(1000)},
              dropped);
  }
  auto batch = 0;
  for (auto i = 0; i < 80; ++i) {
    const auto picked = queue.Pick([](const waiting_request&) { return true; });
    batch += picked->priority == priority_class::batch ? 1 : 0;
  }
  BOOST_TEST(batch == 10);
}

BOOST_AUTO_TEST_CASE(a_full_queue_drops_a_lower_class_for_a_higher_one) {
  auto queue = admission_queue(1);
  auto dropped = std::optional<waiting_request>();
  queue.Add({request_id(1), caller_name("a"), priority_class::batch, At(1)},
            dropped);
  BOOST_TEST(!queue.Add(
      {request_id(2), caller_name("a"), priority_class::batch, At(1)},
      dropped));
  BOOST_TEST(!dropped.has_value());
  BOOST_TEST(queue.Add(
      {request_id(3), caller_name("a"), priority_class::urgent, At(1)},
      dropped));
  BOOST_TEST(dropped->id.get() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(burn_test)

BOOST_AUTO_TEST_CASE(burn_rates_and_budget_are_computed_from_the_counters) {
  auto long_window_start = outcome_counts();
  auto short_window_start = outcome_counts();
  auto now = outcome_counts();
  const auto page = [](int good, int bad) -> std::string {
    const auto labels = std::string(
        "ebony_requests_total{model=\"m\",class=\"urgent\",caller=\"c\","
        "outcome=\"");
    return labels + "good\"} " + std::to_string(good) + "\n" + labels +
           "bad\"} " + std::to_string(bad) + "\n";
  };
  AddMetricsPage(page(1000, 0), long_window_start);
  AddMetricsPage(page(1800, 100), short_window_start);
  AddMetricsPage(page(1900, 150), now);
  const auto rows =
      ComputeBurnRates(long_window_start, short_window_start, now, 0.99);
  BOOST_REQUIRE_EQUAL(rows.size(), 1U);
  BOOST_TEST(rows[0].short_burn == 100.0 / 3,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(rows[0].long_burn == 100.0 / 7,
             boost::test_tools::tolerance(0.001));
  // A burn rate of 14.3 over the long window is below the page threshold of
  // 14.4.
  BOOST_TEST(rows[0].alert == "ticket");
  BOOST_TEST(rows[0].budget_left < 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
