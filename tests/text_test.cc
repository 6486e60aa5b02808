#include "core/text.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace ebony::testing {

BOOST_AUTO_TEST_SUITE(text_rules)

BOOST_AUTO_TEST_CASE(only_well_formed_bytes_are_utf8) {
  for (const auto* text : {"", "i-1", "\xc3\xa6", "\xe2\x82\xac",
                           "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf"}) {
    BOOST_TEST(IsUtf8(text), text);
  }
  for (const auto* bytes :
       {"\x80", "\xff\xfe\xfd", "\xc3", "a\xc3", "\xc0\xaf", "\xe0\x80\xaf",
        "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xe2\x82",
        "\xc3(", "\xe2(\xa1"}) {
    BOOST_TEST(!IsUtf8(bytes));
  }
}

BOOST_AUTO_TEST_CASE(a_name_is_a_short_text_without_control_characters) {
  BOOST_TEST(IsName("i-7f3a91c2"));
  BOOST_TEST(IsName("H\xc3\xa6ngekøje"));
  BOOST_TEST(IsName(std::string(kMaxNameBytes, 'i')));
  BOOST_TEST(!IsName(""));
  BOOST_TEST(!IsName(std::string(kMaxNameBytes + 1, 'i')));
  BOOST_TEST(!IsName("i\n1"));
  BOOST_TEST(!IsName("i\x7f"));
  BOOST_TEST(!IsName(std::string("i\0", 2)));
  BOOST_TEST(!IsName("i\xff"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
