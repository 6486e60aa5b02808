#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "core/error_kind.h"
#include "platform/config_codec.h"
#include "platform/control_codec.h"
#include "platform/order_codec.h"
#include "platform/request_codec.h"
#include "platform/settings_file.h"
#include "settings/settings_loader.h"

namespace ebony::testing {

namespace {

using namespace ebony::platform;

constexpr const char* kSettings =
    "node=core-1\nzone=z1\nip=10.1.0.1\nlisten.control=10.1.0.1:8144\n"
    "portRange=7380,7395\nseeds=10.1.0.1:8144,10.2.0.1:8144\nbootstrap=true\n"
    "tolerate.machines=2\nbounds.leaseMs=3000\nbounds.graceS=8\n"
    "some.new.field=whatever\n";

auto MakeConfigText(const std::string& routes) -> std::string {
  return R"({"version":7,"routes":[)" + routes +
         R"(],"services":[{"name":"s","healthPath":"/h","maxConns":3}]})";
}

constexpr const char* kRoute =
    R"({"name":"r","host":"h","pathPrefix":"/a/","kind":"idempotent",
        "timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"s",
        "maxAttempts":2})";

auto IsConfigRejected(const std::string& body) -> bool {
  try {
    DecodeConfig(body);
    return false;
  } catch (const ebony_error& error) {
    return error.get_kind() == error_kind::invalid_request;
  }
}

auto MakeCall(const std::string& method, const std::string& target)
    -> http_head {
  auto head = http_head();
  head.method = method;
  head.target = target;
  return head;
}

constexpr const char* kAnnouncement =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1",
        "slots":64,"state":"ready","coldLeftMs":0,"seq":4,"born":1700,
        "models":[{"name":"m","version":1,"adapters":["a1"]}],
        "atHand":{"inMemory":["m"],"onDisk":["m","n"]}})";

auto ReplaceAll(std::string text,
                const std::string& from,
                const std::string& to) -> std::string {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

auto IsAnnouncementRejected(const std::string& body) -> bool {
  try {
    DecodeControlCall(MakeCall("PUT", "/api/instances/i-1"), body);
    return false;
  } catch (const ebony_error&) {
    return true;
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_codec)

BOOST_AUTO_TEST_CASE(settings_are_decoded_and_unknown_names_ignored) {
  const auto settings = DecodeSettings(kSettings);
  BOOST_TEST(settings.vm.get() == "core-1");
  BOOST_TEST(settings.seeds.size() == 2U);
  BOOST_TEST(settings.link_port == 7380);
  BOOST_TEST(settings.is_bootstrap);
  BOOST_TEST(settings.tolerated_vm_losses == 2U);
  BOOST_TEST((settings.order_lease == std::chrono::seconds(3)));
  BOOST_TEST((settings.stop_grace == std::chrono::seconds(8)));
}

BOOST_AUTO_TEST_CASE(all_errors_in_the_settings_are_reported_at_once) {
  try {
    DecodeSettings(
        "zone=z\nip=10.0.0.1\nbootstrap=maybe\nbounds.graceS=long\n");
    BOOST_ERROR("invalid settings were accepted");
  } catch (const settings_error& error) {
    const auto text = std::string(error.what());
    BOOST_TEST(text.find("node") != std::string::npos);
    BOOST_TEST(text.find("bootstrap") != std::string::npos);
    BOOST_TEST(text.find("bounds.graceS") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded) {
  const auto config = DecodeConfig(MakeConfigText(kRoute));
  BOOST_TEST(config.number.get() == 7U);
  const auto& route = config.routes.at(0);
  BOOST_TEST((route.retry == retry_policy::idempotent));
  BOOST_TEST((route.time_limit == std::chrono::milliseconds(800)));
  BOOST_TEST(route.targets.at(0).service.get() == "s");
  const auto stream = ReplaceAll(kRoute, "idempotent", "streaming");
  BOOST_TEST((DecodeConfig(MakeConfigText(stream)).routes.at(0).retry ==
              retry_policy::at_most_once));
  const auto resumable =
      ReplaceAll(stream, "\"name\"", "\"resumable\":true,\"name\"");
  BOOST_TEST((DecodeConfig(MakeConfigText(resumable)).routes.at(0).retry ==
              retry_policy::resumable));
}

BOOST_AUTO_TEST_CASE(every_invalid_configuration_is_rejected) {
  const auto good = MakeConfigText(kRoute);
  BOOST_TEST(!IsConfigRejected(good));
  for (auto cut = std::size_t{0}; cut < good.size(); ++cut) {
    BOOST_TEST_REQUIRE(IsConfigRejected(good.substr(0, cut)));
  }
  BOOST_TEST(IsConfigRejected(MakeConfigText(
      ReplaceAll(kRoute, "\"service\":\"s\"", "\"service\":\"t\""))));
  BOOST_TEST(
      IsConfigRejected(MakeConfigText(std::string(kRoute) + "," + kRoute)));
  BOOST_TEST(IsConfigRejected(MakeConfigText(
      ReplaceAll(kRoute, "\"timeoutMs\":800", "\"timeoutMs\":0"))));
  BOOST_TEST(IsConfigRejected(
      MakeConfigText(ReplaceAll(kRoute, "\"service\":\"s\"",
                                R"("split":[{"service":"s","weight":0}])"))));
  BOOST_TEST(
      IsConfigRejected(ReplaceAll(good, "\"version\":7", "\"version\":\"7\"")));
  BOOST_TEST(
      IsConfigRejected(ReplaceAll(good, "\"version\":7", "\"version\":-7")));
  BOOST_TEST(IsConfigRejected(R"({"version":7,"routes":[]})"));
}

BOOST_AUTO_TEST_CASE(an_announcement_is_decoded) {
  const auto call = std::get<announce_call>(
      DecodeControlCall(MakeCall("PUT", "/api/instances/i-1"), kAnnouncement));
  BOOST_TEST(call.status.id.get() == "i-1");
  BOOST_TEST(call.status.start_time_ms == 1700U);
  BOOST_TEST(call.status.software.get() == "v1");
  BOOST_TEST(call.status.sequence == 4U);
  BOOST_TEST(!call.status.is_leaving);
  BOOST_TEST(call.status.models.at(0).adapters.at(0).get() == "a1");
  BOOST_TEST(call.status.on_disk.size() == 2U);
}

BOOST_AUTO_TEST_CASE(malformed_announcements_are_rejected) {
  const auto good = std::string(kAnnouncement);
  BOOST_TEST(!IsAnnouncementRejected(good));
  for (const auto* name :
       {"\"service\"", "\"addr\"", "\"zone\"", "\"seq\"", "\"state\""}) {
    BOOST_TEST_REQUIRE(
        IsAnnouncementRejected(ReplaceAll(good, name, "\"other\"")));
  }
  BOOST_TEST(
      IsAnnouncementRejected(ReplaceAll(good, "\"ready\"", "\"dozing\"")));
  BOOST_TEST(
      IsAnnouncementRejected(ReplaceAll(good, "\"seq\":4", "\"seq\":\"4\"")));
  BOOST_TEST(IsAnnouncementRejected(ReplaceAll(good, "1700", "1700.5")));
  BOOST_TEST(IsAnnouncementRejected(ReplaceAll(good, "\"v1\"", "1")));
  BOOST_TEST(
      IsAnnouncementRejected(ReplaceAll(good, "\"slots\":64", "\"slots\":[]")));
  BOOST_TEST(
      IsAnnouncementRejected(ReplaceAll(good, "10.0.0.9:8080", "nowhere")));
  BOOST_TEST(IsAnnouncementRejected("\xff\xfe\x00not text"));
  BOOST_TEST(IsAnnouncementRejected("[]"));
  BOOST_TEST(IsAnnouncementRejected(""));
}

BOOST_AUTO_TEST_CASE(a_caller_may_take_up_a_stream) {
  auto head = MakeCall("POST", "/a/");
  BOOST_TEST(!DecodeCallerRequest(head).last_event_id.has_value());
  BOOST_TEST(!DecodeCallerRequest(head).resumes.has_value());
  head.fields = {{"Last-Event-Id", "12"}, {"Resumes", "9c41"}};
  BOOST_TEST(*DecodeCallerRequest(head).last_event_id == 12U);
  BOOST_TEST(DecodeCallerRequest(head).resumes->get() == "9c41");
  head.fields = {{"Last-Event-Id", "x"}};
  BOOST_TEST(!DecodeCallerRequest(head).last_event_id.has_value());
}

BOOST_AUTO_TEST_CASE(requests_are_forwarded_without_system_fields) {
  auto caller = MakeCall("POST", "/a/b?q=1");
  caller.fields = {{"Host", "h:80"},
                   {"Ebonythread-Request-Id", "id-1"},
                   {"Ebonythread-Model", "m/a3"},
                   {"Ebonythread-Token-Counts", "1460,80"},
                   {"Ebonythread-Prompt-Prefix", "5c:800,91:410"},
                   {"Ebonythread-Deadline-Ms", "1500"},
                   {"Ebonythread-Hold", "x"},
                   {"ebonythread-pin-ms", "9"},
                   {"Ebonythread-Kv-Backup", "1.2.3.4:5"},
                   {"Kv-From", "1.2.3.4:5/6"},
                   {"Ebonythread-Expect-Instance", "i-9"},
                   {"Connection", "keep-alive, X-Hop"},
                   {"X-Hop", "1"},
                   {"X-Kept", "yes"},
                   {"Content-Length", "3"}};
  const auto metadata = DecodeCallerRequest(caller);
  BOOST_TEST(metadata.host == "h");
  BOOST_TEST(metadata.path == "/a/b");
  BOOST_TEST(metadata.model.get() == "m");
  BOOST_TEST(metadata.adapter.get() == "a3");
  BOOST_TEST(metadata.prompt_tokens == 1460U);
  BOOST_TEST(metadata.prompt_segments.at(1).id == 0x91U);
  BOOST_TEST((metadata.deadline == std::chrono::milliseconds(1500)));

  auto forward = forward_options();
  forward.backend = backend_name("i-1");
  forward.time_left = std::chrono::milliseconds(700);
  const auto head = MakeForwardedHead(caller, forward, 3);
  BOOST_TEST(head.target == "/a/b?q=1");
  BOOST_TEST(*head.Find("Ebonythread-Expect-Instance") == "i-1");
  BOOST_TEST(*head.Find("Ebonythread-Deadline-Ms") == "700");
  BOOST_TEST(*head.Find("Ebonythread-Model") == "m/a3");
  BOOST_TEST(*head.Find("X-Kept") == "yes");
  BOOST_TEST(*head.Find("Content-Length") == "3");
  for (const auto* removed :
       {"Ebonythread-Hold", "Ebonythread-Pin-Ms", "Ebonythread-Kv-Backup",
        "Kv-From", "Connection", "X-Hop"}) {
    BOOST_TEST_REQUIRE(head.Find(removed) == nullptr);
  }
}

BOOST_AUTO_TEST_CASE(answers_state_that_a_request_was_not_executed) {
  auto head = http_head();
  head.status = 503;
  BOOST_TEST(!DecodeServerAnswer(head).not_run);
  head.fields = {{"Ebonythread-Not-Run", "1"}};
  BOOST_TEST(DecodeServerAnswer(head).not_run);
  head.fields = {{"Ebonythread-Instance-Id", "i-2"}};
  head.status = 421;
  BOOST_TEST(DecodeServerAnswer(head).not_run);
  BOOST_TEST(DecodeServerAnswer(head).backend.get() == "i-2");
}

BOOST_AUTO_TEST_CASE(a_stream_is_known_by_its_type) {
  auto head = http_head();
  BOOST_TEST(DecodeServerAnswer(head).is_event_stream);
  for (const auto* type : {"text/event-stream", "Text/Event-Stream",
                           "text/event-stream; charset=utf-8"}) {
    head.fields = {{"Content-Type", type}};
    BOOST_TEST(DecodeServerAnswer(head).is_event_stream, type);
  }
  for (const auto* type : {"text/plain", "text/event-streams", ""}) {
    head.fields = {{"Content-Type", type}};
    BOOST_TEST(!DecodeServerAnswer(head).is_event_stream, type);
  }
}

BOOST_AUTO_TEST_CASE(a_limit_is_a_decimal_number_of_requests_a_second) {
  const auto decode = [](const std::string& text) {
    auto head = http_head();
    head.fields = {{"server-limit", text}};
    return DecodeServerAnswer(head);
  };
  BOOST_TEST(decode("1.6").limit->get() == 1600U);
  BOOST_TEST(decode("12").limit->get() == 12000U);
  BOOST_TEST(decode("0").limit->get() == 0U);
  BOOST_TEST(!decode("1.6").has_unreadable_limit);
  for (const auto* text :
       {"", "-1", "1.6/s", "1,6", "nan", "inf", "1e3", " 2", "99999999999"}) {
    BOOST_TEST(!decode(text).limit.has_value(), text);
    BOOST_TEST(decode(text).has_unreadable_limit, text);
  }
  BOOST_TEST(!DecodeServerAnswer(http_head()).limit.has_value());
  BOOST_TEST(!DecodeServerAnswer(http_head()).has_unreadable_limit);
}

BOOST_AUTO_TEST_CASE(forwarded_answers_keep_status_and_signature) {
  auto head = http_head();
  head.status = 500;
  head.fields = {{"Ebonythread-Response-Seal", "3e1b"},
                 {"Connection", "close"},
                 {"Content-Length", "4"},
                 {"Keep-Alive", "timeout=3"}};
  const auto answer = MakeCallerHead(head);
  BOOST_TEST(answer.status == 500);
  BOOST_TEST(*answer.Find("Ebonythread-Response-Seal") == "3e1b");
  BOOST_TEST(answer.Find("Connection") == nullptr);
  BOOST_TEST(answer.Find("Keep-Alive") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_order_contains_holder_fence_and_expected_count) {
  auto call = placement_call();
  call.model = model_name("m");
  call.adapter = adapter_name("a3");
  call.holder = vm_name("core-1");
  call.fencing_number = 41;
  call.expected_orders = 2;
  auto server = backend_status();
  server.id = backend_name("i-1");
  server.address = host_port("10.0.0.9:8080");
  const auto text = RenderPlacementCall(call, server);
  for (const auto* part :
       {"POST /api/order HTTP/1.1", "\"op\":\"load\"", "\"model\":\"m\"",
        "\"adapter\":\"a3\"", "\"holder\":\"core-1\"", "\"fence\":41",
        "\"expected\":2", "Ebonythread-Expect-Instance: i-1"}) {
    BOOST_TEST_REQUIRE(text.find(part) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(adapters_being_loaded_count_as_loaded) {
  const auto report = DecodeReport(
      R"({"busy":false,"seq":2,"models":[{"name":"m","version":1,
          "adapters":["a1"]}],"coming":["m/a7@1"]})");
  BOOST_TEST_REQUIRE(report->models.at(0).adapters.size() == 2U);
  BOOST_TEST(report->models.at(0).adapters.at(1).get() == "a7");
}

BOOST_AUTO_TEST_CASE(malformed_reports_are_rejected) {
  BOOST_TEST(
      DecodeReport(R"({"busy":false,"seq":2,"models":[]})")->accepted_orders ==
      2U);
  BOOST_TEST(!DecodeReport(R"({"busy":"no","seq":2})").has_value());
  BOOST_TEST(!DecodeReport("garbage").has_value());
}

BOOST_AUTO_TEST_CASE(a_number_of_rejections_is_whole_and_stated_once) {
  const auto decode = [](const std::vector<std::string>& values) {
    auto head = http_head();
    for (const auto& value : values) {
      head.fields.push_back({"Server-Brittle", value});
    }
    return DecodeServerAnswer(head);
  };
  BOOST_TEST(decode({"5"}).max_rejections->get() == 5U);
  BOOST_TEST(decode({"0"}).max_rejections->get() == 0U);
  BOOST_TEST(!decode({}).max_rejections);
  BOOST_TEST(!decode({}).has_unreadable_max_rejections);
  for (const auto& text :
       {std::string(), std::string("-1"), std::string("1.5"), std::string("x"),
        std::string("5 "), std::string("+5"), std::string("1000001"),
        std::string(10 * 1024, '9')}) {
    BOOST_TEST(!decode({text}).max_rejections, text);
    BOOST_TEST(decode({text}).has_unreadable_max_rejections, text);
  }
  BOOST_TEST(!decode({"5", "5"}).max_rejections);
  BOOST_TEST(decode({"5", "6"}).has_unreadable_max_rejections);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
