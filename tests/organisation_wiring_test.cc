#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "codec/handover_codec.h"
#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

constexpr auto kKey = "Api-Key: secret-one\r\n";
constexpr auto kLimitedKey = "Api-Key: secret-three\r\n";
// A lease by which the coordinator grants all that is asked for.
constexpr std::uint32_t kValidMs = 650;

constexpr auto kOrganisations =
    R"([{"name":"o1","apiKeys":["secret-one","secret-two"]},
        {"name":"o2","apiKeys":["secret-three"],"unit":"token_stream",
         "ratePerS":1000,"burst":1000,"plainTokens":100}])";
constexpr auto kWithoutFirstKey = R"([{"name":"o1","apiKeys":["secret-two"]}])";

auto MakeRoute(const std::string& name, const std::string& fields)
    -> std::string {
  return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name +
         R"(/","timeoutMs":4000,"targetLatencyMs":2000,"priority":1,)" +
         fields + "}";
}

// Empty `organisations`: the configuration has none.
auto MakeConfig(std::uint64_t number, const std::string& organisations)
    -> std::string {
  return R"({"version":)" + std::to_string(number) + R"(,"routes":[)" +
         MakeRoute("plain",
                   R"("kind":"idempotent","maxAttempts":2,"service":"s")") +
         "," + MakeRoute("resume", R"("kind":"streaming","maxAttempts":2,
            "gapAimMs":100,"resumable":true,"service":"s")") +
         "," +
         MakeRoute("open",
                   R"("kind":"idempotent","public":true,"service":"s")") +
         "," + MakeRoute("model", R"("kind":"streaming","maxAttempts":1,
            "gapAimMs":100,"service":"e")") +
         R"(],"services":[{"name":"s","healthPath":"/h","maxConns":9},
            {"name":"e","healthPath":"/h","maxConns":9,"engine":{"slots":4,
             "weightsMb":100,"adapterSlots":2,"loadsPerS":1,"models":[
              {"name":"m","weightsMb":10,"loadS":0.3,"adapters":2,
               "adapterMb":1}]}}])" +
         (organisations.empty() ? std::string()
                                : R"(,"tenants":)" + organisations) +
         "}";
}

auto MakeSite(int servers = 1, std::uint64_t request_lines = 0)
    -> std::unique_ptr<gateway_harness> {
  auto site = std::make_unique<gateway_harness>(servers, request_lines);
  site->SetConfig(MakeConfig(2, kOrganisations), 2);
  return site;
}

// The coordinator leases `amount` once, and from then on says that there is no
// credit for `retry_ms`.
auto LeaseOnce(gateway_harness& site,
               std::uint64_t amount,
               std::uint32_t retry_ms) -> void {
  site.change_answer = [amount, retry_ms, is_leased = false](
                           const schema::sync_request& request,
                           schema::sync_answer& answer) mutable {
    answer.set_leases_quotas(true);
    for (const auto& report : request.quota_reports()) {
      auto* row = answer.add_quota_grants();
      row->set_organisation(report.organisation());
      if (!is_leased && report.wanted() > 0) {
        is_leased = true;
        row->set_amount(amount);
        row->set_valid_ms(kValidMs);
      } else {
        row->set_retry_after_ms(retry_ms);
      }
    }
  };
}

auto SendAndWait(gateway_harness& site, const std::string& request)
    -> std::shared_ptr<caller_response> {
  const auto response = site.Send(request);
  site.RunUntil([&] { return response->is_complete; });
  return response;
}

auto CountReceived(const gateway_harness& site) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& server : site.servers) {
    count += server->get_received().size();
  }
  return count;
}

auto GetField(const received_request& request, const char* name)
    -> std::string {
  const auto* value = request.head.Find(name);
  return value == nullptr ? "" : *value;
}

// Renders a request with an empty place for a key in its fields.
auto MakeTokens(const std::string& key, int prompt, int output) -> std::string {
  return key + "Ebonythread-Token-Counts: " + std::to_string(prompt) + "," +
         std::to_string(output) + "\r\n";
}

const auto kModel = std::string("Ebonythread-Model: m\r\n");

// Occupies the only slot of the engine service until `release` is called.
auto FillEngine(gateway_harness& site) -> std::shared_ptr<caller_response> {
  site.SetEngine(0, {"m"}, 1);
  site.servers[0]->AddScript({{}, ending::hang});
  const auto first = site.Send(
      MakeRequest("model", "first", kModel + "Api-Key: secret-two\r\n", "x"));
  site.RunUntil([&] { return CountReceived(site) == 1; });
  return first;
}

// Standard output of this process goes to a file while one of these exists.
class output_capture {
  std::FILE* file_ = std::tmpfile();
  int saved_ = -1;

 public:
  output_capture() {
    std::cout.flush();
    std::fflush(stdout);
    saved_ = ::dup(STDOUT_FILENO);
    ::dup2(::fileno(file_), STDOUT_FILENO);
  }
  output_capture(const output_capture&) = delete;
  auto operator=(const output_capture&) -> output_capture& = delete;
  ~output_capture() {
    ::dup2(saved_, STDOUT_FILENO);
    ::close(saved_);
    std::fclose(file_);
  }
  auto Read() -> std::string {
    auto text = std::string();
    std::rewind(file_);
    for (auto byte = std::fgetc(file_); byte != EOF; byte = std::fgetc(file_)) {
      text.push_back(static_cast<char>(byte));
    }
    return text;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(organisation_wiring)

// Guards against a key that reaches a server, and against a name that a caller
// made up.
BOOST_AUTO_TEST_CASE(a_server_gets_the_name_and_not_the_key) {
  const auto site = MakeSite();
  const auto forged = std::string(kKey) + "Ebonythread-Tenant: o2\r\n";
  const auto known = SendAndWait(*site, MakeRequest("plain", "a", forged));
  BOOST_TEST(known->status == 200);
  const auto open = SendAndWait(*site, MakeRequest("open", "b", forged));
  BOOST_TEST(open->status == 200);
  const auto bare = SendAndWait(*site, MakeRequest("open", "c"));
  BOOST_TEST(bare->status == 200);
  const auto& received = site->servers[0]->get_received();
  BOOST_REQUIRE(received.size() == 3U);
  BOOST_TEST(GetField(*received[0], "Ebonythread-Tenant") == "o1");
  BOOST_TEST(GetField(*received[1], "Ebonythread-Tenant") == "");
  for (const auto& request : received) {
    BOOST_TEST(request->head.Find("Api-Key") == nullptr);
  }
}

// Guards against a request that is served, even in part, without a valid key.
BOOST_AUTO_TEST_CASE(without_a_valid_key_nothing_reaches_a_server) {
  const auto site = MakeSite();
  const auto repeated = std::string(kKey) + kKey;
  const auto both = std::string(kKey) + "Api-Key: secret-two\r\n";
  const auto long_key = "Api-Key: " + std::string(257, 'k') + "\r\n";
  for (const auto& fields :
       {std::string(), std::string("Api-Key: \r\n"),
        std::string("Api-Key: secret\r\n"),
        std::string("Api-Key: secret-one2\r\n"),
        std::string("Api-Key: Bearer secret-one\r\n"),
        std::string("Ebonythread-Tenant: o1\r\n"), repeated, both, long_key}) {
    const auto answer =
        SendAndWait(*site, MakeRequest("plain", "a", fields, "body"));
    BOOST_TEST_CONTEXT(fields) {
      BOOST_TEST(answer->status == 401);
    }
  }
  BOOST_TEST(CountReceived(*site) == 0U);
}

// Guards against deployments whose callers use these fields for themselves.
BOOST_AUTO_TEST_CASE(without_organisations_the_fields_are_forwarded) {
  auto site = gateway_harness(1);
  const auto answer = SendAndWait(
      site,
      MakeRequest("plain", "a", "Api-Key: x\r\nEbonythread-Tenant: y\r\n"));
  BOOST_TEST(answer->status == 200);
  const auto& request = *site.servers[0]->get_received().at(0);
  BOOST_TEST(GetField(request, "Api-Key") == "x");
  BOOST_TEST(GetField(request, "Ebonythread-Tenant") == "y");
  for (const auto& sync : site.syncs) {
    BOOST_TEST(sync.quota_reports_size() == 0);
  }
}

// Guards against a new key that is called unknown by a gateway which may not
// have the newest configuration.
BOOST_AUTO_TEST_CASE(a_gateway_that_is_not_sure_does_not_call_a_key_unknown) {
  const auto site = MakeSite();
  site->StopCoordinator();
  site->RunFor(gateway_harness::kConfigLimit + milliseconds(1200));
  const auto unknown =
      SendAndWait(*site, MakeRequest("plain", "a", "Api-Key: new\r\n"));
  BOOST_TEST(unknown->status == 503);
  const auto known = SendAndWait(*site, MakeRequest("plain", "b", kKey));
  BOOST_TEST(known->status == 200);
}

// Guards against a key that is taken away while a request waits for a server,
// and against one that is taken away from a connection that is kept.
BOOST_AUTO_TEST_CASE(a_removed_key_is_not_served_from_the_queue) {
  const auto site = MakeSite();
  const auto first = FillEngine(*site);
  const auto waiting =
      site->Send(MakeRequest("model", "b", kModel + kKey, "x"));
  const auto kept =
      site->Send(MakeRequest("model", "c", kModel + "Api-Key: secret-two\r\n"));
  site->RunFor(milliseconds(100));
  BOOST_TEST(CountReceived(*site) == 1U);
  site->SetConfig(MakeConfig(3, kWithoutFirstKey), 3);
  site->Reset(first);
  site->RunUntil([&] { return waiting->is_complete && kept->is_complete; });
  BOOST_TEST(waiting->status == 401);
  BOOST_TEST(kept->status == 200);
  for (const auto& request : site->servers[0]->get_received()) {
    BOOST_TEST(request->id != "b");
  }
}

// Guards against requests that were accepted before there were organisations
// and are sent with their key, or without one, afterwards.
BOOST_AUTO_TEST_CASE(a_waiting_request_gets_its_organisation_or_no_server) {
  auto site = gateway_harness(1);
  site.SetConfig(MakeConfig(2, ""), 2);
  const auto first = FillEngine(site);
  const auto unknown = site.Send(MakeRequest("model", "b", kModel, "x"));
  const auto known = site.Send(MakeRequest("model", "c", kModel + kKey, "x"));
  site.RunFor(milliseconds(100));
  site.SetConfig(MakeConfig(3, kOrganisations), 3);
  site.Reset(first);
  site.RunUntil([&] { return unknown->is_complete && known->is_complete; });
  BOOST_TEST(unknown->status == 401);
  BOOST_TEST(known->status == 503);
  BOOST_TEST(CountReceived(site) == 1U);
}

// Guards against waiting requests that are rejected for want of a key when the
// newest configuration asks for none.
BOOST_AUTO_TEST_CASE(a_waiting_request_outlives_the_organisations) {
  const auto site = MakeSite();
  const auto first = FillEngine(*site);
  const auto waiting =
      site->Send(MakeRequest("model", "b", kModel + kKey, "x"));
  site->RunFor(milliseconds(100));
  site->SetConfig(MakeConfig(3, ""), 3);
  site->Reset(first);
  site->RunUntil([&] { return waiting->is_complete; });
  BOOST_TEST(waiting->status == 200);
  BOOST_TEST(site->servers[0]->get_received().back()->head.Find("Api-Key") ==
             nullptr);
}

// Guards against a request that waits while its gateway loses sight of the
// newest configuration, which may not have its key any more.
BOOST_AUTO_TEST_CASE(a_waiting_request_is_not_sent_under_an_old_configuration) {
  const auto site = MakeSite();
  const auto first = FillEngine(*site);
  site->SetConfirms(false);
  site->RunFor(gateway_harness::kConfigLimit - milliseconds(400));
  const auto waiting =
      site->Send(MakeRequest("model", "b", kModel + kKey, "x"));
  site->RunFor(milliseconds(700));
  BOOST_TEST(CountReceived(*site) == 1U);
  site->Reset(first);
  site->RunUntil([&] { return waiting->is_complete; });
  BOOST_TEST(waiting->status == 503);
  BOOST_TEST(CountReceived(*site) == 1U);
}

// Guards against keys in a handover, and against a peer that does not send the
// organisation on.
BOOST_AUTO_TEST_CASE(a_handover_has_the_organisation_and_not_the_key) {
  const auto site = std::make_unique<gateway_harness>(4);
  site->SetConfig(MakeConfig(2, kOrganisations), 2);
  site->AddWiresAndGateways(2);
  site->Cut(cut_manner::reset);
  site->RunFor(milliseconds(1000));
  const auto answer = SendAndWait(*site, MakeRequest("plain", "a", kKey));
  BOOST_TEST(answer->status == 200);
  BOOST_TEST(site->get_counters().get_counter("ebony_handovers_total") > 0U);
  auto found = 0;
  for (const auto& server : site->servers) {
    for (const auto& request : server->get_received()) {
      found += request->id == "a" ? 1 : 0;
      BOOST_TEST(GetField(*request, "Ebonythread-Tenant") == "o1");
      BOOST_TEST(request->head.Find("Api-Key") == nullptr);
    }
  }
  BOOST_TEST(found == 1);
}

// Checks that one request has reached a server, on behalf of `organisation` and
// without a field of gateways.
auto CheckPlainRequest(const gateway_harness& site,
                       const std::string& organisation) -> void {
  auto found = 0;
  for (const auto& server : site.servers) {
    for (const auto& request : server->get_received()) {
      ++found;
      BOOST_TEST(GetField(*request, "Ebonythread-Tenant") == organisation);
      BOOST_TEST(request->head.Find("Ebony-Handover") == nullptr);
      BOOST_TEST(request->head.Find("Ebony-Handover-Result") == nullptr);
    }
  }
  BOOST_TEST(found == 1);
}

// Guards against a caller who names another organisation by the field of a
// handover, in any spelling (review/15).
BOOST_AUTO_TEST_CASE(a_caller_cannot_state_the_terms_of_a_handover) {
  auto terms = handover_terms();
  terms.config = config_number(2);
  terms.service = service_name("s");
  terms.organisation = organisation_name("o2");
  const auto value = EncodeTerms(terms);
  for (const auto& fields :
       {"Ebony-Handover: " + value + "\r\n",
        "eBONY-hANDOVER: " + value + "\r\nEbony-Handover: " + value + "\r\n",
        "Ebony-Handover: " + value + "\r\nConnection: Ebony-Handover\r\n",
        "Ebony-Handover-Result: " + value + "\r\n"}) {
    for (const auto is_cut : {false, true}) {
      const auto site = std::make_unique<gateway_harness>(4);
      site->SetConfig(MakeConfig(2, kOrganisations), 2);
      site->AddWiresAndGateways(2);
      if (is_cut) {
        site->Cut(cut_manner::reset);
        site->RunFor(milliseconds(1000));
      }
      const auto answer =
          SendAndWait(*site, MakeRequest("plain", "a", kKey + fields));
      BOOST_TEST(answer->status == 200);
      BOOST_TEST((site->get_counters().get_counter("ebony_handovers_total") >
                  0U) == is_cut);
      CheckPlainRequest(*site, "o1");
    }
  }
}

// An earlier build passes a caller's field on beside its own.
BOOST_AUTO_TEST_CASE(a_peer_declines_terms_that_are_stated_twice) {
  const auto site = std::make_unique<gateway_harness>(2);
  site->SetConfig(MakeConfig(2, kOrganisations), 2);
  site->AddWiresAndGateways(1);
  auto terms = handover_terms();
  terms.config = config_number(2);
  terms.service = service_name("s");
  const auto state = [&terms](const std::string& organisation) {
    terms.organisation = organisation_name(organisation);
    return "Ebony-Handover: " + EncodeTerms(terms) + "\r\n";
  };
  const auto answer =
      site->SendTo(site->get_other_settings(0).peer_address,
                   MakeRequest("plain", "a", state("o2") + state("o1")));
  site->RunUntil([&] { return answer->is_complete; });
  BOOST_TEST(answer->status == 503);
  BOOST_TEST(CountReceived(*site) == 0U);
}

// Guards against a peer that serves a request whose organisation the other
// gateway did not state or does not know as this one does.
BOOST_AUTO_TEST_CASE(a_peer_declines_an_organisation_that_it_cannot_know) {
  const auto site = std::make_unique<gateway_harness>(2);
  site->SetConfig(MakeConfig(2, kOrganisations), 2);
  site->AddWiresAndGateways(1);
  const auto peer = site->get_other_settings(0).peer_address;
  const auto send = [&](const std::string& route, const std::string& name) {
    auto terms = handover_terms();
    terms.config = config_number(2);
    terms.service = service_name("s");
    terms.organisation = organisation_name(name);
    const auto answer = site->SendTo(
        peer, MakeRequest(route, "a",
                          "Ebony-Handover: " + EncodeTerms(terms) + "\r\n"));
    site->RunUntil([&] { return answer->is_complete; });
    return answer->status;
  };
  BOOST_TEST(send("plain", "") == 503);
  BOOST_TEST(send("plain", "o9") == 503);
  BOOST_TEST(CountReceived(*site) == 0U);
  BOOST_TEST(send("plain", "o1") == 200);
  BOOST_TEST(send("open", "") == 200);
}

// Guards against requests over the quota that reach a server, and against
// answers that do not say when to come back.
BOOST_AUTO_TEST_CASE(over_the_quota_a_caller_is_told_when_to_return) {
  const auto site = MakeSite();
  LeaseOnce(*site, 500, 3000);
  const auto within = SendAndWait(
      *site, MakeRequest("plain", "a", MakeTokens(kLimitedKey, 300, 200)));
  BOOST_TEST(within->status == 200);
  const auto over = SendAndWait(
      *site, MakeRequest("plain", "b", MakeTokens(kLimitedKey, 300, 200)));
  BOOST_TEST(over->status == 429);
  const auto* retry_after = over->head.Find("Retry-After");
  BOOST_REQUIRE(retry_after != nullptr);
  BOOST_TEST(std::stod(*retry_after) >= 3);
  BOOST_TEST(CountReceived(*site) == 1U);
  const auto other = SendAndWait(*site, MakeRequest("plain", "c", kKey));
  BOOST_TEST(other->status == 200);
}

// Guards against counts so large that their sum is small again.
BOOST_AUTO_TEST_CASE(a_sum_of_tokens_does_not_overflow) {
  const auto site = MakeSite();
  LeaseOnce(*site, 500, 3000);
  const auto answer =
      SendAndWait(*site, MakeRequest("plain", "a",
                                     std::string(kLimitedKey) +
                                         "Ebonythread-Token-Counts: "
                                         "18446744073709551615,11\r\n"));
  BOOST_TEST(answer->status == 429);
  BOOST_TEST(CountReceived(*site) == 0U);
}

// Guards against tokens that are lost when a server turns a request away.
BOOST_AUTO_TEST_CASE(what_a_server_refuses_is_credited_once) {
  const auto site = MakeSite();
  LeaseOnce(*site, 500, 3000);
  site->servers[0]->AddScript(
      {{"HTTP/1.1 429 Too Many Requests\r\nEbonythread-Request-Id: $ID\r\n"
        "Ebonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
       ending::keep});
  const auto fields = MakeTokens(kLimitedKey, 300, 200);
  const auto refused = SendAndWait(*site, MakeRequest("plain", "a", fields));
  BOOST_TEST(refused->status == 503);
  site->RunFor(milliseconds(50));
  site->servers[0]->AnswerAlways({{MakeResponse(200, "ok")}});
  const auto again = SendAndWait(*site, MakeRequest("plain", "b", fields));
  BOOST_TEST(again->status == 200);
  const auto twice = SendAndWait(*site, MakeRequest("plain", "c", fields));
  BOOST_TEST(twice->status == 429);
}

// Guards against tokens that are lost when a caller leaves while it is found
// out what began its stream.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_before_a_server_is_credited) {
  const auto site = MakeSite(2);
  site->SetSoftware(1, "v2");
  site->SetKnowsOrigins(false);
  LeaseOnce(*site, 500, 3000);
  const auto fields = MakeTokens(kLimitedKey, 300, 200);
  const auto leaving = site->Send(MakeRequest(
      "resume", "a", fields + "Last-Event-Id: 2\r\nResumes: first\r\n"));
  site->RunFor(milliseconds(150));
  site->Disconnect(leaving);
  site->RunFor(milliseconds(2000));
  auto returned = std::uint64_t{0};
  for (const auto& sync : site->syncs) {
    for (const auto& report : sync.quota_reports()) {
      returned += report.returned();
    }
  }
  BOOST_TEST(returned == 500U);
  BOOST_TEST(CountReceived(*site) == 0U);
}

// Guards against credit that was leased long before its request reaches a
// server: others have used what accrued since.
BOOST_AUTO_TEST_CASE(credit_that_has_lapsed_in_the_queue_is_not_used) {
  const auto site = MakeSite();
  const auto first = FillEngine(*site);
  LeaseOnce(*site, 500, 3000);
  const auto waiting = site->Send(MakeRequest(
      "model", "b", kModel + MakeTokens(kLimitedKey, 300, 200), "x"));
  site->RunFor(milliseconds(kValidMs + 100));
  BOOST_TEST(CountReceived(*site) == 1U);
  site->Reset(first);
  site->RunUntil([&] { return waiting->is_complete; });
  BOOST_TEST(waiting->status == 429);
  BOOST_TEST(CountReceived(*site) == 1U);
}

// Guards against keys in what operators see.
BOOST_AUTO_TEST_CASE(no_key_is_in_the_log_or_the_metrics) {
  auto capture = output_capture();
  auto metrics_text = std::string();
  {
    const auto site = MakeSite(1, 1000);
    LeaseOnce(*site, 100, 3000);
    for (const auto* key :
         {kKey, kLimitedKey, kLimitedKey, "Api-Key: secret-unknown\r\n",
          "Api-Key: secret-one\r\nApi-Key: secret-two\r\n"}) {
      SendAndWait(*site, MakeRequest("plain", "a", key));
      SendAndWait(*site, MakeRequest("open", "b", key));
    }
    site->SetConfig(MakeConfig(3, kWithoutFirstKey), 3);
    SendAndWait(*site, MakeRequest("plain", "c", kKey));
    metrics_text = site->get_counters().Render();
  }
  const auto log = capture.Read();
  BOOST_TEST(log.find("\"organisation\":\"o1\"") != std::string::npos);
  BOOST_TEST(log.find("over_quota") != std::string::npos);
  BOOST_TEST(log.find("secret") == std::string::npos);
  BOOST_TEST(metrics_text.find("ebony_refused_total") != std::string::npos);
  BOOST_TEST(metrics_text.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
