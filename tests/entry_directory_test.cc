#include "entry/entry_directory.h"

#include <boost/test/unit_test.hpp>

#include "tests/test_support.h"

namespace ebony::testing {

BOOST_AUTO_TEST_SUITE(entry_directory_test)

BOOST_AUTO_TEST_CASE(a_non_serving_entry_does_not_list_itself) {
  auto entries = std::vector<directory_entry>(2);
  entries[0].vm = vm_name("e1");
  entries[1].vm = vm_name("e2");
  auto directory = entry_directory({}, vm_name("e1"), entries);
  directory.OnStateReport(vm_name("e1"), false, false, 0, At(0));
  const auto listed = directory.ListEntries(At(1));
  BOOST_REQUIRE_EQUAL(listed.size(), 1U);
  BOOST_TEST(listed[0].vm.get() == "e2");
  // It is listed when no other entry is left.
  directory.OnStateReport(vm_name("e2"), false, true, 0, At(1));
  BOOST_TEST(!directory.ListEntries(At(2)).empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_has_just_started_does_not_list_itself) {
  auto entries = std::vector<directory_entry>(3);
  entries[0].vm = vm_name("e1");
  entries[1].vm = vm_name("e2");
  entries[2].vm = vm_name("e3");
  auto directory = entry_directory({}, vm_name("e1"), entries);
  const auto listed = directory.ListEntries(At(0));
  BOOST_REQUIRE_EQUAL(listed.size(), 2U);
  BOOST_TEST(listed[0].vm.get() == "e2");
  BOOST_TEST(listed[1].vm.get() == "e3");
  // The only entry of a site is listed all the same.
  entries.resize(1);
  BOOST_TEST(
      entry_directory({}, vm_name("e1"), entries).ListEntries(At(0)).size() ==
      1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
