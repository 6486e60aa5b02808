// ebony_burn: reports how fast service levels spend their error budgets.

#include <cstdio>
#include <deque>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "core/error_kind.h"
#include "drivers/daemon_runner.h"
#include "drivers/http_client.h"
#include "schema/settings.pb.h"
#include "settings/settings_loader.h"
#include "tools/burn_report.h"

namespace ebony {

namespace {

using json = nlohmann::ordered_json;

// Length of the long window in short windows.
constexpr std::size_t kShortWindowsPerLong = 12;
constexpr int kStatusOk = 200;

// State of the fleet as the control VMs report it.
struct fleet_status {
  std::size_t accelerators = 0;
  std::size_t moving = 0;   // accelerators with an open order
  std::size_t at_risk = 0;  // models
};

auto Get(http_client& client, const std::string& url, const std::string& key)
    -> http_response {
  auto call = http_call();
  call.method = "GET";
  call.url = url;
  call.timeout = std::chrono::seconds(2);
  call.connection = connection_use::kept;
  if (!key.empty()) {
    call.headers = {"Authorization: Bearer " + key};
  }
  return CallAndWait(client, std::move(call));
}

auto FetchCounts(http_client& client, const schema::burn_settings& settings)
    -> outcome_counts {
  auto counts = outcome_counts();
  for (const auto& entry : settings.entries()) {
    const auto answer = Get(client, "http://" + entry + "/metrics", "");
    if (answer.status != kStatusOk) {
      std::cerr << "ebony_burn: " << entry << " did not answer; its requests "
                << "are missing from the report\n";
      continue;
    }
    AddMetricsPage(answer.body, counts);
  }
  return counts;
}

auto FetchFleetStatus(http_client& client,
                      const schema::burn_settings& settings) -> fleet_status {
  auto fleet = fleet_status();
  auto key = std::string();
  if (!settings.key_file().empty()) {
    auto in = std::ifstream(settings.key_file());
    auto name = std::string();
    in >> name >> key;
  }
  for (const auto& control : settings.control()) {
    const auto answer = Get(client, "http://" + control + "/v1/status", key);
    const auto body = json::parse(answer.body, nullptr, false);
    if (answer.status != kStatusOk || !body.is_object()) {
      continue;
    }
    for (const auto& server : body["backend_servers"]) {
      for (const auto& accelerator : server["accelerators"]) {
        ++fleet.accelerators;
        fleet.moving += accelerator.contains("open_order") ? 1 : 0;
      }
    }
    fleet.at_risk = body["at_risk"].size();
    break;
  }
  return fleet;
}

auto RenderJson(const std::vector<burn_rate_row>& rows,
                const fleet_status& fleet,
                double objective) -> json {
  auto out = json();
  out["objective"] = objective;
  auto good = std::uint64_t{0};
  auto total = std::uint64_t{0};
  out["rows"] = json::array();
  for (const auto& row : rows) {
    good += row.total.good;
    total += row.total.get_total();
    out["rows"].push_back({{"model", row.key.model},
                           {"class", row.key.priority},
                           {"caller", row.key.caller},
                           {"requests", row.total.get_total()},
                           {"attainment", row.attainment},
                           {"budget_left", row.budget_left},
                           {"short_burn", row.short_burn},
                           {"long_burn", row.long_burn},
                           {"alert", row.alert}});
  }
  const auto attainment =
      total == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(total);
  out["attainment"] = attainment;
  out["accelerators"] = fleet.accelerators;
  if (fleet.accelerators > 0) {
    out["attainment_per_accelerator"] =
        attainment / static_cast<double>(fleet.accelerators);
  }
  out["moving"] = fleet.moving;
  out["models_at_risk"] = fleet.at_risk;
  return out;
}

auto PrintText(const json& report) -> void {
  std::printf("%-24s %-12s %-12s %9s %10s %8s %7s %7s %s\n", "model", "class",
              "caller", "requests", "attainment", "budget", "short", "long",
              "alert");
  for (const auto& row : report["rows"]) {
    std::printf("%-24s %-12s %-12s %9llu %9.2f%% %7.0f%% %7.1f %7.1f %s\n",
                row["model"].get<std::string>().c_str(),
                row["class"].get<std::string>().c_str(),
                row["caller"].get<std::string>().c_str(),
                row["requests"].get<unsigned long long>(),
                row["attainment"].get<double>() * 100,
                row["budget_left"].get<double>() * 100,
                row["short_burn"].get<double>(), row["long_burn"].get<double>(),
                row["alert"].get<std::string>().c_str());
  }
  std::printf(
      "objective %.2f%%  attainment %.2f%%  accelerators %llu  moving "
      "%llu  models at risk %llu\n",
      report["objective"].get<double>() * 100,
      report["attainment"].get<double>() * 100,
      report["accelerators"].get<unsigned long long>(),
      report["moving"].get<unsigned long long>(),
      report["models_at_risk"].get<unsigned long long>());
}

auto WriteHtml(const json& report, const std::string& path) -> void {
  auto out = std::ofstream(path);
  if (!out) {
    throw ebony_error(error_kind::invalid_request,
                      path + ": cannot write file");
  }
  out << "<!doctype html><meta charset=utf-8><title>Service-level burn"
         "</title><style>body{font:14px sans-serif;margin:2em}"
         "table{border-collapse:collapse}td,th{padding:4px 10px;"
         "text-align:left;border-bottom:1px solid #ccc}"
         ".bar{background:#eee;width:160px;height:12px}"
         ".fill{height:12px;background:#2a7}.bad .fill{background:#c33}"
         ".page{color:#c00;font-weight:bold}</style>"
         "<h1>Service-level burn</h1><p>Objective "
      << report["objective"].get<double>() * 100 << " %, attainment "
      << report["attainment"].get<double>() * 100 << " %, "
      << report["accelerators"] << " accelerators, " << report["moving"]
      << " moving, " << report["models_at_risk"]
      << " models at risk.</p><table><tr><th>model<th>class<th>caller"
         "<th>requests<th>attainment<th>error budget left<th>short burn"
         "<th>long burn<th>alert</tr>";
  for (const auto& row : report["rows"]) {
    const auto left = row["budget_left"].get<double>();
    const auto width = std::min(1.0, std::max(0.0, left)) * 100;
    out << "<tr class='" << (left < 0.25 ? "bad" : "") << "'><td>"
        << row["model"].get<std::string>() << "<td>"
        << row["class"].get<std::string>() << "<td>"
        << row["caller"].get<std::string>() << "<td>" << row["requests"]
        << "<td>" << row["attainment"].get<double>() * 100
        << " %<td><div class=bar><div class=fill style='width:" << width
        << "%'></div></div>" << left * 100 << " %<td>"
        << row["short_burn"].get<double>() << "<td>"
        << row["long_burn"].get<double>() << "<td class=page>"
        << row["alert"].get<std::string>() << "</tr>";
  }
  out << "</table>\n";
}

auto Run(int argc, const char** argv) -> int {
  auto settings = schema::burn_settings();
  LoadSettings(argc, argv, ReadEnvironment, settings);
  if (settings.objective() <= 0 || settings.objective() >= 1) {
    throw settings_error({"--objective: must be above 0 and below 1"});
  }
  auto client = http_client(64);
  client.Start();
  auto history = std::deque<outcome_counts>{FetchCounts(client, settings)};
  for (auto window = 0U; window < settings.rounds(); ++window) {
    std::this_thread::sleep_for(std::chrono::seconds(settings.window_s()));
    history.push_back(FetchCounts(client, settings));
    if (history.size() > kShortWindowsPerLong + 1) {
      history.pop_front();
    }
  }
  const auto rows =
      ComputeBurnRates(history.front(), history[history.size() - 2],
                       history.back(), settings.objective());
  const auto report = RenderJson(rows, FetchFleetStatus(client, settings),
                                 settings.objective());
  if (!settings.html().empty()) {
    WriteHtml(report, settings.html());
  }
  if (settings.json()) {
    std::cout << report.dump(2) << "\n";
  } else {
    PrintText(report);
  }
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace ebony

auto main(int argc, const char** argv) -> int {
  return ebony::RunProgram([argc, argv] { return ebony::Run(argc, argv); });
}
