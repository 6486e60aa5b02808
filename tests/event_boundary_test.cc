#include "entry/event_boundary.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "entry/sse_reader.h"

namespace ebony::testing {

namespace {

auto IsInside(const std::string& text) -> bool {
  auto boundary = event_boundary();
  boundary.Follow(text);
  return boundary.is_inside_event();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(event_boundary_rules)

BOOST_AUTO_TEST_CASE(only_a_blank_line_ends_an_event) {
  for (const auto* whole :
       {"", "\n", "data: a\n\n", "data: a\r\n\r\n", "data: a\n\r\n",
        "data: a\r\n\n", ": comment\n\n", "data: a\n\n\n", "\r\ndata: a\n\n"}) {
    BOOST_TEST(!IsInside(whole), "'" << whole << "'");
  }
  for (const auto* part : {"d", "data: a", "data: a\n", "data: a\r\n",
                           "data: a\r\n\r", "data: a\n\nid: 2", ":"}) {
    BOOST_TEST(IsInside(part), "'" << part << "'");
  }
}

// Splits random bytes at random places, and compares with the events that
// sse_reader finds in one piece.
BOOST_AUTO_TEST_CASE(any_split_of_the_bytes_gives_the_same_position) {
  auto random = std::mt19937_64(11);
  const auto alphabet = std::string("di: \n\n\r");
  for (auto round = 0; round < 2000; ++round) {
    auto text = std::string();
    for (auto i = 0; i < 60; ++i) {
      text.push_back(alphabet[random() % alphabet.size()]);
    }
    auto events = std::uint64_t{0};
    auto end = std::size_t{0};
    auto reader = sse_reader();
    reader.Feed(text, [&](const sse_event& event) {
      ++events;
      end += event.raw.size();
    });
    const auto has_partial_event =
        text.find_first_not_of("\r\n", end) != std::string::npos;
    auto boundary = event_boundary();
    for (auto at = std::size_t{0}; at < text.size();) {
      const auto size = 1 + random() % 7;
      boundary.Follow(std::string_view(text).substr(at, size));
      at += size;
    }
    BOOST_REQUIRE_EQUAL(boundary.get_events(), events);
    BOOST_REQUIRE_EQUAL(boundary.is_inside_event(), has_partial_event);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
