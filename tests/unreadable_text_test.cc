#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "codec/entry_codec.h"
#include "codec/message_reader.h"
#include "codec/site_codec.h"
#include "core/error_kind.h"
#include "core/text.h"
#include "main/registry_replica.h"
#include "main/sync_relay.h"
#include "platform/control_codec.h"
#include "tests/coordinator_harness.h"
#include "tests/gateway_harness.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// Bytes that are no UTF-8: never a start, a start without an end, an overlong
// form, half of a surrogate pair, and one beyond the last code point.
const auto kUnreadable = std::vector<std::string>{
    "\xff\xfe\xfd", "i-\xc3", "\xc0\xaf", "\xed\xa0\x80", "\xf5\x80\x80\x80"};

auto MakeCall(const std::string& method, const std::string& id) -> http_head {
  auto head = http_head();
  head.method = method;
  head.target = "/api/instances/" + id;
  return head;
}

constexpr auto kAnnouncement =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1",
        "slots":64,"state":"ready","seq":4,"born":1700})";

auto IsRefused(const http_head& head, const std::string& body) -> bool {
  try {
    platform::DecodeControlCall(head, body);
    return false;
  } catch (const ebony_error& error) {
    return error.get_kind() == error_kind::invalid_request;
  }
}

auto MakeRecord(const std::string& id) -> backend_record {
  auto record = backend_record();
  record.status.id = backend_name(id);
  record.status.service = service_name("s");
  record.status.address = host_port("10.0.0.9:8080");
  record.status.slots = 4;
  record.status.sequence = 1;
  record.status.start_time_ms = 5;
  return record;
}

// As an earlier build sends it, which does not look at its texts.
auto MakeAnswer(const std::vector<std::string>& ids) -> schema::sync_answer {
  auto answer = schema::sync_answer();
  answer.set_is_leader(true);
  answer.set_roster_source("leader/1");
  answer.set_roster_revision(ids.size());
  auto number = 0U;
  for (const auto& id : ids) {
    auto* row = answer.add_backends();
    *row = ToSchema(MakeRecord(id), At(0));
    row->set_number(++number);
  }
  return answer;
}

// Sends such an answer, and reads it without `unreadable` of its rows.
auto ReadAnswer(const std::vector<std::string>& ids, std::size_t unreadable)
    -> schema::sync_answer {
  auto answer = schema::sync_answer();
  BOOST_TEST(
      (ReadMessage(MakeAnswer(ids).SerializeAsString(), answer) == unreadable));
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unreadable_texts)

// Guards against one beat that makes all later messages unreadable.
BOOST_AUTO_TEST_CASE(a_server_whose_id_is_no_text_is_refused) {
  for (const auto& id : kUnreadable) {
    BOOST_TEST(IsRefused(MakeCall("PUT", id), kAnnouncement));
    BOOST_TEST(IsRefused(MakeCall("DELETE", id), {}));
  }
  BOOST_TEST(IsRefused(MakeCall("PUT", ""), kAnnouncement));
  BOOST_TEST(IsRefused(MakeCall("DELETE", ""), {}));
  BOOST_TEST(IsRefused(MakeCall("PUT", std::string(300, 'i')), kAnnouncement));
  BOOST_TEST(!IsRefused(MakeCall("PUT", "i-1"), kAnnouncement));
  BOOST_TEST(!IsRefused(MakeCall("DELETE", "\xc3\xa6-1"), {}));
}

BOOST_AUTO_TEST_CASE(texts_of_an_announcement_that_are_none_are_refused) {
  for (const auto* name :
       {"\"service\":\"s", "\"zone\":\"z", "\"version\":\"v1"}) {
    for (const auto& bytes : kUnreadable) {
      auto body = std::string(kAnnouncement);
      body.insert(body.find(name) + std::string(name).size(), bytes);
      BOOST_TEST(IsRefused(MakeCall("PUT", "i-1"), body));
    }
  }
}

// What callers name in a header is sent on to the coordinators.
BOOST_AUTO_TEST_CASE(a_model_that_is_no_text_leaves_the_syncs_readable) {
  for (const auto& bytes : kUnreadable) {
    auto site = gateway_harness(1);
    site.SetEngine(0, {"m"}, 4);
    for (const auto& model : {bytes, "m/" + bytes}) {
      const auto refused = site.Send(MakeRequest(
          "model", "id", "Ebonythread-Model: " + model + "\r\n", "p"));
      site.RunUntil([&] { return refused->is_complete; });
      BOOST_TEST(refused->status == 400);
    }
    const auto answer = site.Send(
        MakeRequest("model", "id-1", "Ebonythread-Model: m\r\n", "prompt"));
    site.RunUntil([&] { return answer->is_complete; });
    site.RunFor(milliseconds(150));
    auto is_known = false;
    for (const auto& sync : site.syncs) {
      for (const auto& row : sync.demands()) {
        is_known = is_known || row.model() == "m";
        BOOST_TEST(IsUtf8(row.model()));
        BOOST_TEST(IsUtf8(row.adapter()));
      }
    }
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(is_known);
  }
}

// Both sides of a message may be of different builds.
BOOST_AUTO_TEST_CASE(an_unreadable_row_costs_only_itself) {
  for (const auto& bytes : kUnreadable) {
    const auto answer = ReadAnswer({"i-1", bytes, "i-2"}, 1);
    auto replica = registry_replica();
    replica.ApplyAnswer(answer, At(0), [](const backend_record&) {});
    const auto& registry = replica.get_registry();
    BOOST_TEST(registry.Find(backend_name("i-1")) != nullptr);
    BOOST_TEST(registry.Find(backend_name("i-2")) != nullptr);
    BOOST_TEST(registry.Find(backend_name(bytes)) == nullptr);
    BOOST_TEST(replica.get_index().GetNumber(backend_name("i-2")) == 3U);
  }
}

BOOST_AUTO_TEST_CASE(a_relay_passes_no_unreadable_row_on) {
  for (const auto& bytes : kUnreadable) {
    auto relay = sync_relay(vm_name("c-2"), [](std::uint64_t) { return 0U; });
    relay.ApplyLeaderAnswer(ReadAnswer({"i-1", bytes}, 1), At(0));
    auto sent = schema::sync_request();
    sent.set_vm("g-1");
    for (const auto& model : {std::string("m"), bytes}) {
      auto* row = sent.add_demands();
      row->set_service("s");
      row->set_model(model);
      row->set_arrived(1);
    }
    auto sync = schema::sync_request();
    BOOST_TEST((ReadMessage(sent.SerializeAsString(), sync) == 1U));
    relay.HandleGatewaySync(sync, At(1), At(1));
    auto answer = schema::sync_answer();
    relay.FillGatewayAnswer(sync, answer, At(1));
    BOOST_TEST(answer.backends_size() == 1);
    auto request = schema::sync_request();
    relay.FillLeaderRequest(request, At(2));
    BOOST_TEST_REQUIRE(request.demands_size() == 1);
    BOOST_TEST(request.demands(0).model() == "m");
  }
}

BOOST_AUTO_TEST_CASE(a_leader_takes_no_unreadable_row_of_another_daemon) {
  for (const auto& bytes : kUnreadable) {
    auto site = coordinator_harness();
    site.AwaitLeadership();
    BOOST_TEST(site.Announce({"i-1", bytes}) == 200);
    BOOST_TEST(site.Announce({bytes}) == 400);
    BOOST_TEST(site.Announce({"i-2"}) == 200);
    auto sync = schema::sync_request();
    sync.set_vm("g-1");
    sync.set_caller_address("10.0.0.1:80");
    auto* row = sync.add_demands();
    row->set_service("s");
    row->set_model(bytes);
    const auto answer = site.Sync(sync);
    auto ids = std::vector<std::string>();
    for (const auto& backend : answer.backends()) {
      ids.push_back(backend.id());
    }
    BOOST_TEST(ids == (std::vector<std::string>{"i-1", "i-2"}),
               boost::test_tools::per_element());
  }
}

// Keys and types come from headers of callers and servers.
BOOST_AUTO_TEST_CASE(claims_of_a_key_that_is_no_text_stay_readable) {
  for (const auto& bytes : kUnreadable) {
    auto request = claim_request();
    request.key = request_key(bytes);
    auto ask = schema::claim_ask();
    BOOST_TEST(ask.ParseFromString(ToSchema(request).SerializeAsString()));
    BOOST_TEST(ask.key() == bytes);
    auto completion = claim_completion();
    completion.outcome = claim_outcome{200, bytes, "body"};
    auto finish = schema::claim_finish();
    BOOST_TEST(
        finish.ParseFromString(ToSchema(completion).SerializeAsString()));
    BOOST_TEST(finish.outcome().content_type() == bytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
