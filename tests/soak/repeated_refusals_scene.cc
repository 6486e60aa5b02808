#include "tests/soak/repeated_refusals_scene.h"

#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "drivers/stream_socket.h"
#include "tests/soak/soak_site.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kGateways = 3;
constexpr std::size_t kServers = 4;
constexpr int kSlots = 12;  // that a server announces
constexpr int kRoom = 2;    // that it has besides what others run there
constexpr int kTargetMs = 600;
constexpr std::uint64_t kRefusalPercent = 35;  // of requests that find room
constexpr std::uint64_t kCopyPercent = 60;     // of refusals
constexpr int kMaxTries = 3;                   // of a caller with one id
constexpr duration kArrivalInterval = milliseconds(16);
constexpr duration kAnnounceInterval = milliseconds(300);
constexpr duration kMoveInterval = milliseconds(400);
constexpr duration kLoadTime = milliseconds(15000);
constexpr duration kLastAnswers = milliseconds(4500);

struct refusal_copy {
  std::string request;
  std::string bytes;
};

struct server_state {
  std::unique_ptr<stream_acceptor> acceptor;
  std::uint64_t process = 1;   // counted up with each new id
  std::uint64_t sequence = 0;  // of its announcements
  bool is_announced = true;
  int running = 0;
};

struct server_connection {
  std::size_t server = 0;
  std::shared_ptr<stream_socket> socket;
  std::unique_ptr<http_reader> reader;
  std::string unparsed;
  http_head head;       // of the request that is being received
  std::string request;  // under way; empty: none is
  bool is_running = false;
  bool has_begun_answer = false;
  // Written in one write with the next answer.
  std::vector<refusal_copy> before_answer;
  // Written some ms after the next request has come.
  std::vector<refusal_copy> after_request;
};
using connection_pointer = std::shared_ptr<server_connection>;

struct caller_request {
  int tries = 0;
  int runs = 0;
  bool was_rejected = false;
};

auto MakeEvent(const std::string& number, const std::string& data)
    -> std::string {
  return "id: " + number + "\ndata: " + data + "\n\n";
}

class repeated_refusals_scene {
  repeated_refusals_options options_;
  std::mt19937_64 random_;
  soak_site site_;
  std::vector<server_state> servers_{kServers};
  std::map<std::string, caller_request> requests_;
  std::map<std::string, int> counts_;

  auto PickTime(int least_ms, int most_ms) -> duration {
    const auto steps = static_cast<std::uint64_t>(most_ms - least_ms + 1);
    return milliseconds(least_ms + static_cast<int>(random_() % steps));
  }

  auto Violate(const std::string& rule, const std::string& id) -> void {
    ++counts_[rule];
    site_.Report(rule + " " + id);
  }

  auto GetName(std::size_t server) const -> std::string {
    return "e-" + std::to_string(server) + "-" +
           std::to_string(servers_[server].process);
  }

  // A request is sent again to the only server with its model, or to one of two
  // while another id of a server becomes known.
  auto GetModel(std::size_t number) const -> std::string {
    return "m" + std::to_string(number % (options_.moves ? 2 : kServers));
  }

  auto Announce(std::size_t server) -> void {
    auto& state = servers_[server];
    if (!state.is_announced) {
      return;
    }
    site_.PutAnnouncement(
        server, GetName(server),
        {{"service", "e"},
         {"addr", site_.GetServerAddress(server).get()},
         {"zone", "z1"},
         {"slots", kSlots},
         {"state", "ready"},
         {"models", {{{"name", GetModel(server)}, {"version", 1}}}},
         {"born", 1000 + state.process},
         {"seq", ++state.sequence}});
  }

  // Connections live on, as behind an address that another process takes over.
  auto Move(std::size_t server) -> void {
    servers_[server].process += 1;
    servers_[server].is_announced = false;
    site_.get_loop().AddTimerIn(PickTime(20, 150), [this, server] {
      servers_[server].is_announced = true;
      Announce(server);
    });
  }

  auto ExpectRequest(server_connection& item) -> void {
    auto hooks = http_reader::hooks();
    hooks.on_head = [&item](http_head head) { item.head = std::move(head); };
    hooks.on_body = [](std::string_view) {};
    item.reader = std::make_unique<http_reader>(http_message_type::request,
                                                hooks, http_reader::limits());
  }

  auto Accept(std::size_t server, int descriptor) -> void {
    ++counts_["connections"];
    const auto item = std::make_shared<server_connection>();
    item->server = server;
    item->socket = std::make_shared<stream_socket>(site_.get_loop());
    ExpectRequest(*item);
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [this, item](std::string_view bytes) {
      item->unparsed.append(bytes);
      ReadRequests(item);
    };
    hooks.on_close = [this, item](socket_close_reason) { End(*item); };
    item->socket->Adopt(descriptor, std::move(hooks));
  }

  // A gateway that takes a copy for the answer sends the next request while
  // this one runs; the server reads it afterwards.
  auto ReadRequests(const connection_pointer& item) -> void {
    while (!item->is_running && !item->unparsed.empty()) {
      auto consumed = std::size_t{0};
      const auto status = item->reader->Feed(item->unparsed, consumed);
      item->unparsed.erase(0, consumed);
      if (status != parse_status::complete) {
        return;
      }
      ExpectRequest(*item);
      OnRequest(item);
    }
  }

  auto OnRequest(const connection_pointer& item) -> void {
    const auto* id = item->head.Find("Ebonythread-Request-Id");
    if (id == nullptr) {  // a check or an order, which runs nothing
      item->socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    item->request = *id;
    for (const auto& copy : std::exchange(item->after_request, {})) {
      WriteLater(item, copy);
    }
    const auto* expected = item->head.Find("Ebonythread-Expect-Instance");
    if (expected == nullptr || *expected != GetName(item->server)) {
      Refuse(item, "421");
    } else if (servers_[item->server].running >= kRoom ||
               random_() % 100 < kRefusalPercent) {
      Refuse(item, "503");
    } else {
      StartRun(item);
    }
  }

  auto Answer(server_connection& item, const std::string& bytes) -> void {
    auto joined = std::string();
    for (const auto& copy : std::exchange(item.before_answer, {})) {
      CountCopy(item, copy);
      joined += copy.bytes;
    }
    item.socket->Send(joined + bytes);
  }

  auto Refuse(const connection_pointer& item, const std::string& status)
      -> void {
    ++counts_["refused " + status];
    const auto copy = refusal_copy{
        item->request,
        "HTTP/1.1 " + status +
            " X\r\nEbonythread-Request-Id: " + item->request +
            "\r\nEbonythread-Instance-Id: " + GetName(item->server) +
            "\r\nEbonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    Answer(*item, copy.bytes);
    End(*item);
    if (random_() % 100 >= kCopyPercent) {
      return;
    }
    ++counts_["copies due"];
    switch (random_() % 3) {
      case 0:
        item->before_answer.push_back(copy);
        break;
      case 1:
        item->after_request.push_back(copy);
        break;
      default:  // the connection may be idle then
        WriteLater(item, copy);
    }
  }

  auto WriteLater(const connection_pointer& item, const refusal_copy& copy)
      -> void {
    site_.get_loop().AddTimerIn(PickTime(1, 8), [this, item, copy] {
      // Within an answer it would be a part of that one.
      if (item->socket->is_open() && !item->has_begun_answer) {
        CountCopy(*item, copy);
        item->socket->Send(copy.bytes);
      }
    });
  }

  auto CountCopy(const server_connection& item, const refusal_copy& copy)
      -> void {
    const auto is_same = item.request == copy.request;
    ++counts_["copies written"];
    counts_["copies for a request under way again"] += is_same ? 1 : 0;
    counts_["of these while it runs"] += is_same && item.is_running ? 1 : 0;
  }

  auto StartRun(const connection_pointer& item) -> void {
    const auto id = item->request;
    auto& request = requests_[id];
    item->is_running = true;
    ++servers_[item->server].running;
    if (++request.runs > 1) {
      Violate("TWICE", id);
    }
    if (request.was_rejected) {
      Violate("REFUSED", id);
    }
    site_.get_loop().AddTimerIn(PickTime(12, 30), [this, item, id] {
      if (item->is_running) {  // the connection is open
        item->has_begun_answer = true;
        Answer(*item, "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: " + id +
                          "\r\nEbonythread-Response-Seal: seal-" + id +
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n" +
                          RenderChunk(MakeEvent("1", id)));
      }
    });
    site_.get_loop().AddTimerIn(PickTime(31, 70), [this, item] {
      if (item->is_running) {
        item->socket->Send(RenderChunk(MakeEvent("2", "end")) +
                           RenderChunk({}));
        End(*item);
        ReadRequests(item);
      }
    });
  }

  // The request of the connection is not under way any more.
  auto End(server_connection& item) -> void {
    item.request.clear();
    item.has_begun_answer = false;
    servers_[item.server].running -=
        std::exchange(item.is_running, false) ? 1 : 0;
  }

  auto SendRequest(std::size_t gateway, const std::string& id) -> void {
    ++requests_[id].tries;
    requests_[id].was_rejected = false;
    ++counts_["sent"];
    site_.SendToGateway(
        gateway,
        "POST /model/x HTTP/1.1\r\nHost: h\r\n"
        "Ebonythread-Model: " +
            GetModel(std::hash<std::string>()(id)) +
            "\r\nEbonythread-Request-Id: " + id +
            "\r\nContent-Length: 6\r\n\r\nprompt",
        [this, gateway, id](const http_head& head, const std::string& body) {
          OnAnswer(gateway, id, head, body);
        });
  }

  auto OnAnswer(std::size_t gateway,
                const std::string& id,
                const http_head& head,
                const std::string& body) -> void {
    auto& request = requests_[id];
    ++counts_["answered " + std::to_string(head.status)];
    if (head.status == 503 || head.status == 429) {
      request.was_rejected = true;
      if (request.runs > 0) {
        Violate("REFUSED", id);
      } else if (options_.asks_again && request.tries < kMaxTries) {
        site_.get_loop().AddTimerIn(
            PickTime(5, 60), [this, gateway, id] { SendRequest(gateway, id); });
      }
      return;
    }
    const auto* seal = head.Find("Ebonythread-Response-Seal");
    const auto is_own = seal != nullptr && *seal == "seal-" + id &&
                        body == MakeEvent("1", id) + MakeEvent("2", "end");
    if (head.status == 200 && !is_own) {
      Violate("MIXED", id);
    }
  }

 public:
  repeated_refusals_scene(const std::string& program_dir,
                          std::uint64_t seed,
                          repeated_refusals_options options)
      : options_(options),
        random_(seed),
        site_(program_dir, seed, {kGateways, 0, kSlots, kTargetMs, {}, true}) {}

  auto Run() -> scene_report {
    site_.Start();
    auto& loop = site_.get_loop();
    for (auto i = std::size_t{0}; i < kServers; ++i) {
      servers_[i].acceptor = std::make_unique<stream_acceptor>(
          loop, site_.GetServerAddress(i),
          [this, i](int descriptor) { Accept(i, descriptor); });
      RepeatEvery(loop, kAnnounceInterval, [this, i] { Announce(i); });
    }
    site_.AwaitConfig();
    counts_.clear();
    const auto end = loop.get_now() + kLoadTime;
    RepeatEvery(loop, kArrivalInterval, [this, &loop, end] {
      if (loop.get_now() < end) {
        SendRequest(random_() % kGateways,
                    "r" + std::to_string(requests_.size() + 1));
      }
    });
    RepeatEvery(loop, kMoveInterval, [this, &loop, end] {
      if (options_.moves && loop.get_now() < end) {
        Move(random_() % kServers);
      }
    });
    loop.Run([&] { return loop.get_now() >= end + kLastAnswers; });
    // A gateway that closes connections at once gets no copy.
    if (counts_["answered 200"] == 0 || counts_["copies due"] == 0) {
      site_.Report("nothing was served, or no copy was due");
    }
    auto out = std::ostringstream();
    out << requests_.size() << " requests";
    for (const auto& [name, count] : counts_) {
      out << ", " << name << ": " << count;
    }
    return {site_.get_violations(), out.str()};
  }
};

}  // namespace

auto PlayRepeatedRefusals(const std::string& program_dir,
                          std::uint64_t seed,
                          repeated_refusals_options options) -> scene_report {
  return repeated_refusals_scene(program_dir, seed, options).Run();
}

}  // namespace ebony::testing
