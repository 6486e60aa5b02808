#include "drivers/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

#include "drivers/http_message.h"

namespace ebony {

namespace {

constexpr std::size_t kStreamBlockBytes = 16384;
constexpr std::size_t kConnectionMemoryBytes = 32768;
constexpr unsigned kListenBacklog = 1024;
// Unread bytes of a stream after which the response to a slow caller is
// aborted.
constexpr std::size_t kMaxStreamBacklogBytes = 8U << 20;

// One part in so many of the descriptors is left to calls, links, files and
// operators. Each request in progress takes a connection to a server.
constexpr unsigned kReservedDescriptorParts = 2;
// One part in so many of the connections is left to those that send no body.
constexpr unsigned kReservedConnectionParts = 4;
constexpr int kRequestTimeout = 408;

// The part of a request that has been received so far.
struct pending_request {
  http_request request;
  body_pointer body;
  exchange_pointer exchange;
};

auto ToLower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

auto CollectHeader(void* target,
                   MHD_ValueKind,
                   const char* key,
                   const char* value) -> MHD_Result {
  auto& headers = *static_cast<header_map*>(target);
  headers[ToLower(key)] = value == nullptr ? "" : value;
  return MHD_YES;
}

auto CollectQuery(void* target,
                  MHD_ValueKind,
                  const char* key,
                  const char* value) -> MHD_Result {
  auto& query = *static_cast<std::map<std::string, std::string>*>(target);
  query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

auto ReadBlock(void* context, std::uint64_t, char* target, std::size_t limit)
    -> ssize_t {
  return (*static_cast<exchange_pointer*>(context))->ReadStream(target, limit);
}

auto FreeStreamContext(void* context) -> void {
  delete static_cast<exchange_pointer*>(context);
}

auto GetSocket(MHD_Connection* connection) -> int {
  const auto* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

// Returns how many connections the descriptors of the process allow.
auto GetMaxConnections(const http_server_options& options) -> unsigned {
  auto limit = rlimit();
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return options.max_connections;
  }
  const auto share = limit.rlim_cur / kReservedDescriptorParts;
  return static_cast<unsigned>(
      std::clamp<rlim_t>(share, options.threads,
                         std::max(options.threads, options.max_connections)));
}

auto MakeAnswerText(const error_response& answer) -> std::string {
  auto head = http_head();
  head.status = answer.status;
  for (const auto& [name, value] : answer.headers) {
    head.fields.push_back({name, value});
  }
  head.fields.push_back({"Content-Length", std::to_string(answer.body.size())});
  head.fields.push_back({"Connection", "close"});
  return RenderResponseHead(head) + answer.body;
}

auto MakeTurnedAwayResponse(body_result result) -> error_response {
  if (result == body_result::too_large) {
    return MakeErrorResponse(error_kind::payload_too_large, ran_state::no,
                             "the request body is too large");
  }
  if (result == body_result::no_memory) {
    return MakeErrorResponse(error_kind::overloaded, ran_state::no,
                             "there is no memory for the request body");
  }
  auto answer = MakeErrorResponse(error_kind::overloaded, ran_state::no,
                                  "the request body made no progress");
  answer.status = kRequestTimeout;
  return answer;
}

auto MakeBodyOptions(const http_server_options& options,
                     unsigned max_connections) -> body_receiver_options {
  auto result = body_receiver_options();
  result.account.max_bytes = options.max_held_body_bytes;
  result.account.max_receiving = std::max(
      1U, max_connections - max_connections / kReservedConnectionParts);
  result.max_body_bytes = options.max_body_bytes;
  result.evicted_answer =
      MakeAnswerText(MakeTurnedAwayResponse(body_result::evicted));
  result.on_turned_away = options.on_body_turned_away;
  return result;
}

// Returns the announced length of a body; 0 for one in chunks.
auto GetAnnouncedBytes(const http_request& request) -> std::uint64_t {
  const auto text = request.GetHeader("content-length");
  auto bytes = std::uint64_t{0};
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), bytes);
  return parsed.ec == std::errc::result_out_of_range ? ~std::uint64_t{0}
                                                     : bytes;
}

// Begins a request with a body. Returns the result of its announcement.
auto BeginBody(http_server& server,
               MHD_Connection* connection,
               pending_request& pending) -> body_result {
  const auto& request = pending.request;
  const auto announced = GetAnnouncedBytes(request);
  if (announced == 0 && request.GetHeader("transfer-encoding").empty()) {
    return body_result::stored;
  }
  pending.body = server.get_bodies().Begin(GetSocket(connection));
  return server.get_bodies().Announce(*pending.body, announced);
}

// Answers while a body is still arriving, which libmicrohttpd has no call for,
// and closes the connection.
auto CutBody(MHD_Connection* connection, body_result result) -> MHD_Result {
  if (result != body_result::evicted) {
    const auto answer = MakeAnswerText(MakeTurnedAwayResponse(result));
    ::send(GetSocket(connection), answer.data(), answer.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  return MHD_NO;
}

auto OnAccess(void* context,
              MHD_Connection* connection,
              const char* url,
              const char* method,
              const char*,
              const char* upload,
              std::size_t* upload_size,
              void** state) -> MHD_Result {
  auto& server = *static_cast<http_server*>(context);
  if (*state == nullptr) {
    auto pending = std::make_unique<pending_request>();
    pending->request.method = method;
    pending->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &pending->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &pending->request.query);
    auto& begun = *pending;
    *state = pending.release();
    const auto result = BeginBody(server, connection, begun);
    if (result == body_result::stored) {
      return MHD_YES;
    }
    begun.body.reset();
    begun.exchange =
        std::make_shared<http_exchange>(connection, GetSocket(connection));
    server.Track(begun.exchange);
    auto answer = MakeTurnedAwayResponse(result);
    begun.exchange->Respond(answer.status, answer.headers,
                            std::move(answer.body));
    return static_cast<MHD_Result>(begun.exchange->QueueResponse());
  }
  auto& pending = *static_cast<pending_request*>(*state);
  if (*upload_size != 0) {
    if (pending.body == nullptr) {
      return MHD_NO;
    }
    const auto result = server.get_bodies().Append(
        *pending.body, std::string_view(upload, *upload_size));
    *upload_size = 0;
    return result == body_result::stored ? MHD_YES
                                         : CutBody(connection, result);
  }
  if (!pending.exchange) {
    if (pending.body != nullptr) {
      auto bytes = server.get_bodies().Take(*pending.body);
      if (!bytes) {
        return MHD_NO;
      }
      pending.request.body = std::move(*bytes);
      pending.request.body_charge = std::exchange(pending.body, nullptr);
    }
    pending.exchange =
        std::make_shared<http_exchange>(connection, GetSocket(connection));
    server.Track(pending.exchange);
    server.Handle(std::move(pending.request), pending.exchange);
  }
  if (pending.exchange->SuspendIfWaiting()) {
    return MHD_YES;
  }
  return static_cast<MHD_Result>(pending.exchange->QueueResponse());
}

auto OnCompleted(void* context,
                 MHD_Connection*,
                 void** state,
                 MHD_RequestTerminationCode) -> void {
  const auto pending =
      std::unique_ptr<pending_request>(static_cast<pending_request*>(*state));
  *state = nullptr;
  if (pending && pending->body) {
    static_cast<http_server*>(context)->get_bodies().End(*pending->body);
  }
  if (pending && pending->exchange) {
    pending->exchange->OnConnectionClosed();
    static_cast<http_server*>(context)->Untrack(pending->exchange);
  }
}

auto ParseAddress(const host_port& address) -> sockaddr_in {
  auto result = sockaddr_in();
  const auto colon = address.get().rfind(':');
  auto port = std::uint16_t{0};
  const auto& text = address.get();
  if (colon != std::string::npos) {
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  }
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  const auto host = text.substr(0, colon);
  if (colon == std::string::npos ||
      inet_pton(AF_INET, host.c_str(), &result.sin_addr) != 1) {
    throw ebony_error(error_kind::invalid_request,
                      "'" + text + "' must be IP:PORT");
  }
  return result;
}

}  // namespace

auto http_request::GetHeader(const std::string& name) const -> std::string {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

http_exchange::http_exchange(MHD_Connection* connection, int socket)
    : connection_(connection), socket_(socket) {}

auto http_exchange::ResumeLocked() -> void {
  if (suspended_ && connection_ != nullptr) {
    suspended_ = false;
    MHD_resume_connection(connection_);
  }
}

auto http_exchange::Respond(int status,
                            const header_map& headers,
                            std::string body) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (phase_ != phase::no_response) {
    return;
  }
  phase_ = phase::complete;
  status_ = status;
  headers_ = headers;
  buffer_ = std::move(body);
  ResumeLocked();
}

auto http_exchange::StartStream(int status, const header_map& headers) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (phase_ != phase::no_response) {
    return;
  }
  phase_ = phase::streaming;
  status_ = status;
  headers_ = headers;
  ResumeLocked();
}

auto http_exchange::Write(std::string_view bytes) -> void {
  const auto lock = std::lock_guard(mutex_);
  if (phase_ != phase::streaming || finished_ || aborted_) {
    return;
  }
  if (buffer_.size() + bytes.size() > kMaxStreamBacklogBytes) {
    aborted_ = true;
  } else {
    buffer_.append(bytes);
  }
  ResumeLocked();
}

auto http_exchange::Finish() -> void {
  const auto lock = std::lock_guard(mutex_);
  finished_ = true;
  ResumeLocked();
}

auto http_exchange::Abort() -> void {
  const auto lock = std::lock_guard(mutex_);
  aborted_ = true;
  if (phase_ == phase::no_response) {
    phase_ = phase::streaming;
    status_ = GetErrorAnswer(error_kind::internal).http_status;
  }
  ResumeLocked();
}

auto http_exchange::SetOnDisconnect(std::function<void()> on_disconnect)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  on_disconnect_ = std::move(on_disconnect);
}

auto http_exchange::SuspendIfWaiting() -> bool {
  const auto lock = std::lock_guard(mutex_);
  if (phase_ != phase::no_response || connection_ == nullptr) {
    return false;
  }
  suspended_ = true;
  MHD_suspend_connection(connection_);
  return true;
}

auto http_exchange::QueueResponse() -> int {
  const auto lock = std::lock_guard(mutex_);
  if (queued_ || connection_ == nullptr) {
    return MHD_YES;
  }
  queued_ = true;
  auto* response =
      phase_ == phase::complete
          ? MHD_create_response_from_buffer(buffer_.size(), buffer_.data(),
                                            MHD_RESPMEM_MUST_COPY)
          : MHD_create_response_from_callback(
                MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadBlock,
                new exchange_pointer(shared_from_this()), &FreeStreamContext);
  for (const auto& [name, value] : headers_) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const auto result =
      MHD_queue_response(connection_, static_cast<unsigned>(status_), response);
  MHD_destroy_response(response);
  return result;
}

auto http_exchange::ReadStream(char* target, std::size_t limit)
    -> std::int64_t {
  const auto lock = std::lock_guard(mutex_);
  if (!buffer_.empty()) {
    const auto count = std::min(limit, buffer_.size());
    std::memcpy(target, buffer_.data(), count);
    buffer_.erase(0, count);
    return static_cast<std::int64_t>(count);
  }
  if (aborted_) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (finished_) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (connection_ != nullptr) {
    suspended_ = true;
    MHD_suspend_connection(connection_);
  }
  return 0;
}

auto http_exchange::OnConnectionClosed() -> void {
  auto on_disconnect = std::function<void()>();
  {
    const auto lock = std::lock_guard(mutex_);
    const auto was_complete =
        phase_ == phase::complete || (phase_ == phase::streaming && finished_);
    connection_ = nullptr;
    socket_ = -1;
    phase_ = phase::closed;
    if (!was_complete) {
      on_disconnect = std::move(on_disconnect_);
    }
    on_disconnect_ = nullptr;
  }
  if (on_disconnect) {
    on_disconnect();
  }
}

auto http_exchange::HasCallerDisconnected() const -> bool {
  const auto lock = std::lock_guard(mutex_);
  if (socket_ < 0 || !suspended_) {
    return false;
  }
  auto item = pollfd{socket_, POLLRDHUP, 0};
  return ::poll(&item, 1, 0) > 0 &&
         (item.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

auto http_exchange::Drop() -> void {
  auto on_disconnect = std::function<void()>();
  {
    const auto lock = std::lock_guard(mutex_);
    on_disconnect = std::exchange(on_disconnect_, nullptr);
  }
  if (on_disconnect) {
    on_disconnect();
  }
  Abort();
}

auto http_exchange::is_open() const -> bool {
  const auto lock = std::lock_guard(mutex_);
  return connection_ != nullptr;
}

http_server::http_server(
    http_server_options options,
    std::function<void(http_request, exchange_pointer)> handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      max_connections_(GetMaxConnections(options_)),
      bodies_(MakeBodyOptions(options_, max_connections_)) {
  // A body of full size has to fit beside the part that is left to small ones.
  if (options_.max_held_body_bytes / 2 < options_.max_body_bytes) {
    throw ebony_error(error_kind::invalid_request,
                      "--max-held-body-bytes must be at least twice the "
                      "maximum size of a request body");
  }
}

http_server::~http_server() {
  Stop();
}

auto http_server::Start() -> void {
  const auto address = ParseAddress(options_.address);
  daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0,
      nullptr, nullptr, &OnAccess, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<const sockaddr*>(&address), MHD_OPTION_THREAD_POOL_SIZE,
      options_.threads, MHD_OPTION_CONNECTION_LIMIT, max_connections_,
      MHD_OPTION_CONNECTION_TIMEOUT, options_.idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      &OnCompleted, this, MHD_OPTION_END);
  if (daemon_ == nullptr) {
    throw ebony_error(
        error_kind::internal,
        "--http-address " + options_.address.get() + ": cannot listen");
  }
  const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
  port_ = info == nullptr ? 0 : info->port;
}

auto http_server::StopListening() -> void {
  if (daemon_ != nullptr) {
    const auto socket = MHD_quiesce_daemon(daemon_);
    if (socket != MHD_INVALID_SOCKET) {
      ::close(socket);
    }
  }
}

auto http_server::Stop() -> void {
  if (daemon_ == nullptr) {
    return;
  }
  auto open = std::set<exchange_pointer>();
  {
    const auto lock = std::lock_guard(mutex_);
    open = open_;
  }
  for (const auto& exchange : open) {
    exchange->Drop();
  }
  MHD_stop_daemon(daemon_);
  daemon_ = nullptr;
}

auto http_server::DropDisconnectedCallers() -> void {
  auto open = std::vector<exchange_pointer>();
  {
    const auto lock = std::lock_guard(mutex_);
    open.assign(open_.begin(), open_.end());
  }
  for (const auto& exchange : open) {
    if (exchange->HasCallerDisconnected()) {
      exchange->Drop();
    }
  }
}

auto http_server::Track(const exchange_pointer& exchange) -> void {
  const auto lock = std::lock_guard(mutex_);
  open_.insert(exchange);
}

auto http_server::Untrack(const exchange_pointer& exchange) -> void {
  const auto lock = std::lock_guard(mutex_);
  open_.erase(exchange);
}

auto http_server::Handle(http_request request, const exchange_pointer& exchange)
    -> void {
  try {
    handler_(std::move(request), exchange);
  } catch (const ebony_error& error) {
    RespondError(*exchange, error.get_kind(), error.get_ran(), error.what());
  } catch (const std::exception& error) {
    RespondError(*exchange, error_kind::internal, ran_state::unknown,
                 error.what());
  }
}

auto http_server::GetOpenCount() -> std::size_t {
  const auto lock = std::lock_guard(mutex_);
  return open_.size();
}

auto MakeErrorResponse(error_kind kind,
                       ran_state ran,
                       const std::string& message) -> error_response {
  const auto& answer = GetErrorAnswer(kind);
  auto result = error_response();
  result.status = answer.http_status;
  result.headers["Content-Type"] = "application/json";
  result.headers["X-Request-Ran"] = std::string(GetRanText(ran));
  if (answer.retry_after.count() > 0) {
    result.headers["Retry-After"] = std::to_string(answer.retry_after.count());
  }
  auto body = nlohmann::ordered_json();
  body["error"]["code"] = answer.code;
  body["error"]["message"] = message;
  body["error"]["ran"] = GetRanText(ran);
  result.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return result;
}

auto RespondError(http_exchange& exchange,
                  error_kind kind,
                  ran_state ran,
                  const std::string& message) -> void {
  auto answer = MakeErrorResponse(kind, ran, message);
  exchange.Respond(answer.status, answer.headers, std::move(answer.body));
}

}  // namespace ebony
