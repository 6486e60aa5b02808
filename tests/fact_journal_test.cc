// The files in which facts outlive all processes: whatever happens to them, a
// start reads what is whole and goes on.

#include "drivers/fact_journal.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "drivers/disk_frame.h"
#include "tests/test_folder.h"

namespace ebony::testing {

namespace {

auto MakeOptions(const test_folder& folder) -> fact_journal::options {
  auto options = fact_journal::options();
  options.folder = folder.get_path();
  return options;
}

// Returns what a start finds, in a fixed order.
auto Read(const test_folder& folder) -> std::vector<std::string> {
  auto payloads = fact_journal(MakeOptions(folder)).Load().payloads;
  std::sort(payloads.begin(), payloads.end());
  return payloads;
}

auto AddBytes(const test_folder& folder,
              const std::string& file,
              const std::string& bytes) -> void {
  auto out = std::ofstream(folder.get_path() + "/" + file,
                           std::ios::binary | std::ios::app);
  out << bytes;
}

const auto kTwo = std::vector<std::string>{"one", "two"};

}  // namespace

BOOST_AUTO_TEST_SUITE(fact_journals)

BOOST_AUTO_TEST_CASE(what_was_written_is_read_by_the_next_start) {
  const auto folder = test_folder();
  BOOST_TEST(Read(folder).empty());
  {
    auto journal = fact_journal(MakeOptions(folder));
    BOOST_TEST(journal.Load().payloads.empty());
    BOOST_TEST(journal.Append("one"));
    BOOST_TEST(journal.Append("two"));
  }
  BOOST_TEST(Read(folder) == kTwo);
}

BOOST_AUTO_TEST_CASE(a_rotation_keeps_the_file_before_and_drops_older_ones) {
  const auto folder = test_folder();
  {
    auto journal = fact_journal(MakeOptions(folder));
    journal.Load();
    journal.Append("old");
    journal.Rotate("one");
    journal.Rotate("two");
  }
  BOOST_TEST(Read(folder) == kTwo);
  // A start goes on with the newest file, and drops the other one next.
  {
    auto journal = fact_journal(MakeOptions(folder));
    journal.Load();
    journal.Append("three");
    journal.Rotate("four");
  }
  BOOST_TEST(Read(folder) ==
             (std::vector<std::string>{"four", "three", "two"}));
  // The other file is the newest one now.
  {
    auto journal = fact_journal(MakeOptions(folder));
    journal.Load();
    journal.Append("five");
    journal.Rotate("six");
  }
  BOOST_TEST(Read(folder) == (std::vector<std::string>{"five", "four", "six"}));
}

// Power was lost during a write, or the file is not one of this system.
BOOST_AUTO_TEST_CASE(damaged_bytes_cost_no_other_record) {
  const auto torn = MakeFrame("12345678torn");
  for (const auto& damage :
       {std::string("not a frame at all"), std::string(4096, '\0'),
        torn.substr(0, torn.size() - 1), torn.substr(0, 7), MakeFrame("short"),
        std::string(100, '\xff')}) {
    const auto folder = test_folder();
    {
      auto journal = fact_journal(MakeOptions(folder));
      journal.Load();
      journal.Append("one");
    }
    AddBytes(folder, "facts.0", damage);
    {
      auto journal = fact_journal(MakeOptions(folder));
      BOOST_TEST(journal.Load().damaged_bytes > 0U);
      journal.Append("two");
    }
    BOOST_TEST(Read(folder) == kTwo);
  }
}

BOOST_AUTO_TEST_CASE(a_full_disk_fails_writes_and_later_ones_are_read) {
  const auto folder = test_folder();
  auto is_full = std::atomic<bool>(true);
  auto options = MakeOptions(folder);
  options.write = [&is_full](int fd, const void* bytes, std::size_t count) {
    if (is_full) {
      // Part of the frame is written before the disk is full.
      static_cast<void>(::write(fd, bytes, std::min<std::size_t>(count, 10)));
      errno = ENOSPC;
      return ssize_t{-1};
    }
    return ::write(fd, bytes, count);
  };
  {
    auto journal = fact_journal(options);
    journal.Load();
    BOOST_TEST(journal.Append("lost"));
    journal.Flush();
    BOOST_TEST(journal.TakeFailure().has_value());
    BOOST_TEST(!journal.TakeFailure().has_value());
    is_full = false;
    journal.Append("one");
    journal.Rotate("two");
    journal.Flush();
    BOOST_TEST(!journal.TakeFailure().has_value());
  }
  BOOST_TEST(Read(folder) == kTwo);
}

// What is written before a rotation that fails stays where it is.
BOOST_AUTO_TEST_CASE(a_rotation_that_fails_costs_only_the_oldest_file) {
  const auto folder = test_folder();
  auto is_full = std::atomic<bool>(false);
  auto options = MakeOptions(folder);
  options.write = [&is_full](int fd, const void* bytes, std::size_t count) {
    if (is_full) {
      errno = ENOSPC;
      return ssize_t{-1};
    }
    return ::write(fd, bytes, count);
  };
  {
    auto journal = fact_journal(options);
    journal.Load();
    journal.Append("one");
    journal.Flush();
    is_full = true;
    for (auto i = 0; i < 3; ++i) {
      journal.Rotate("lost");
      journal.Flush();
      BOOST_TEST(journal.TakeFailure().has_value());
    }
    is_full = false;
    journal.Append("two");
  }
  BOOST_TEST(Read(folder) == kTwo);
}

// A disk that stalls delays only the journal, whose queue is bounded.
BOOST_AUTO_TEST_CASE(a_stalled_disk_delays_nobody_and_takes_no_more_memory) {
  const auto folder = test_folder();
  auto is_stalled = std::atomic<bool>(true);
  auto options = MakeOptions(folder);
  options.max_queued_bytes = 1000;
  options.write = [&is_stalled](int fd, const void* bytes, std::size_t count) {
    while (is_stalled) {
      ::usleep(1000);
    }
    return ::write(fd, bytes, count);
  };
  auto accepted = 0;
  {
    auto journal = fact_journal(options);
    journal.Load();
    for (auto i = 0; i < 100; ++i) {
      accepted += journal.Append(std::string(100, 'x')) ? 1 : 0;
    }
    BOOST_TEST(accepted == 10);
    is_stalled = false;
    journal.Flush();
    BOOST_TEST(journal.Append("one"));
  }
  BOOST_TEST(Read(folder).size() == 11U);
}

BOOST_AUTO_TEST_CASE(a_file_has_a_largest_size) {
  const auto folder = test_folder();
  auto options = MakeOptions(folder);
  options.max_file_bytes = 1000;
  auto journal = fact_journal(options);
  journal.Load();
  for (auto i = 0; i < 10; ++i) {
    BOOST_TEST(journal.Append(std::string(100, 'x')));
  }
  BOOST_TEST(!journal.Append("y"));
  BOOST_TEST(journal.Rotate("z"));
  BOOST_TEST(journal.Append("y"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
