#include "drivers/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "core/error_kind.h"
#include "drivers/answer_status.h"
#include "drivers/wakeup_event.h"

namespace ebony {

namespace {

constexpr int kPollMs = 200;
constexpr long kMaxIdleConnections = 512;
// Of the heads of one call's response, interim ones included.
constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;

auto InitLibrary() -> void {
  static const auto result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (result != CURLE_OK) {
    throw ebony_error(error_kind::internal, "cannot initialise libcurl");
  }
}

// Returns the status of a status line; 0, which is none, if it cannot be read.
auto ParseStatus(std::string_view line) -> int {
  constexpr auto kDigits = std::size_t{3};
  const auto space = line.find(' ');
  if (space == std::string_view::npos) {
    return 0;
  }
  const auto rest = line.substr(space + 1);
  const auto end = rest.find_first_of(" \r\n");
  const auto digits = rest.substr(0, end);
  auto status = 0;
  const auto* last = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), last, status);
  const auto is_whole = parsed.ec == std::errc() && parsed.ptr == last;
  return is_whole && digits.size() == kDigits ? status : 0;
}

auto ToMs(duration time) -> long {
  return static_cast<long>(std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(time).count()));
}

}  // namespace

struct http_client::transfer {
  transfer_id id;
  std::shared_ptr<http_call> call;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  header_map response_headers;
  bool is_head_reported = false;
  bool has_whole_head = false;  // the empty line after it has come
  std::size_t head_bytes = 0;   // of all heads so far
  interim_limit interim;

  ~transfer() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }

  auto ReportHead() -> void {
    if (is_head_reported) {
      return;
    }
    is_head_reported = true;
    auto status = 0L;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    if (call->callbacks.on_head) {
      call->callbacks.on_head(static_cast<int>(status), response_headers);
    }
  }

  static auto OnHeader(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* context) -> std::size_t {
    auto& self = *static_cast<transfer*>(context);
    self.head_bytes += size * count;
    if (self.head_bytes > kMaxHeadBytes) {
      return 0;  // makes libcurl end the transfer
    }
    const auto line = std::string(data, size * count);
    if (line.rfind("HTTP/", 0) == 0) {
      if (self.interim.OnHead(ParseStatus(line), GetNow()) ==
          answer_kind::none) {
        return 0;
      }
      self.response_headers.clear();
      self.has_whole_head = false;
      return size * count;
    }
    self.has_whole_head = self.has_whole_head || line == "\r\n" || line == "\n";
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      return size * count;
    }
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto begin = line.find_first_not_of(" \t", colon + 1);
    const auto end = line.find_last_not_of(" \t\r\n");
    self.response_headers[name] = begin == std::string::npos || end < begin
                                      ? ""
                                      : line.substr(begin, end - begin + 1);
    return size * count;
  }

  static auto OnData(char* data,
                     std::size_t size,
                     std::size_t count,
                     void* context) -> std::size_t {
    auto& self = *static_cast<transfer*>(context);
    self.ReportHead();
    if (self.call->callbacks.on_data) {
      self.call->callbacks.on_data(std::string_view(data, size * count));
    }
    return size * count;
  }
};

http_client::http_client(std::size_t capacity)
    : multi_((InitLibrary(), curl_multi_init())),
      commands_(capacity, [this] { curl_multi_wakeup(multi_); }),
      thread_([this] { Run(); }) {
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

http_client::~http_client() {
  Stop();
  for (const auto& [id, item] : transfers_) {
    curl_multi_remove_handle(multi_, item->easy);
  }
  transfers_.clear();
  curl_multi_cleanup(multi_);
}

auto http_client::Start() -> void {
  thread_.Start();
}

auto http_client::Stop() -> void {
  if (stopping_.exchange(true)) {
    return;
  }
  curl_multi_wakeup(multi_);
  thread_.Join();
}

auto http_client::Call(http_call call) -> transfer_id {
  const auto id = transfer_id(next_id_.fetch_add(1));
  auto shared = std::make_shared<http_call>(std::move(call));
  if (!commands_.Push({id, shared}) && shared->callbacks.on_end) {
    shared->callbacks.on_end(transfer_result::not_sent,
                             "the call queue is full");
  }
  return id;
}

auto http_client::Cancel(transfer_id id) -> void {
  commands_.Push({id, nullptr});
}

auto http_client::StartTransfer(transfer_id id, std::shared_ptr<http_call> call)
    -> void {
  auto item = std::make_unique<transfer>();
  item->id = id;
  item->call = std::move(call);
  item->easy = curl_easy_init();
  const auto& request = *item->call;
  for (const auto& header : request.headers) {
    item->headers = curl_slist_append(item->headers, header.c_str());
  }
  item->headers = curl_slist_append(item->headers, "Expect:");
  auto* easy = item->easy;
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, item.get());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, item->headers);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToMs(request.timeout));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   ToMs(request.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &transfer::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, item.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &transfer::OnData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, item.get());
  if (request.connection == connection_use::own) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
  }
  curl_multi_add_handle(multi_, easy);
  transfers_.emplace(id, std::move(item));
}

auto http_client::RunCommands() -> void {
  while (const auto item = commands_.Pop()) {
    if (item->call) {
      StartTransfer(item->id, item->call);
    } else {
      FinishTransfer(item->id, transfer_result::cancelled, "cancelled");
    }
  }
}

auto http_client::FinishTransfer(transfer_id id,
                                 transfer_result result,
                                 const std::string& reason) -> void {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) {
    return;
  }
  const auto item = std::move(found->second);
  transfers_.erase(found);
  curl_multi_remove_handle(multi_, item->easy);
  if (result == transfer_result::completed) {
    item->ReportHead();
  }
  if (item->call->callbacks.on_end) {
    item->call->callbacks.on_end(result, reason);
  }
}

auto http_client::ReapFinished() -> void {
  auto left = 0;
  while (const auto* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto result = message->data.result;
    transfer* item = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &item);
    auto sent_bytes = 0L;
    curl_easy_getinfo(message->easy_handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
    auto end = transfer_result::completed;
    // libcurl takes a connection that ends inside the head for the end of an
    // answer without a body.
    if (result != CURLE_OK || !item->has_whole_head) {
      end = sent_bytes == 0 ? transfer_result::not_sent
                            : transfer_result::interrupted;
    }
    FinishTransfer(item->id, end, curl_easy_strerror(result));
  }
}

auto http_client::Run() -> void {
  auto running = 0;
  while (!stopping_) {
    RunCommands();
    curl_multi_perform(multi_, &running);
    ReapFinished();
    curl_multi_poll(multi_, nullptr, 0, kPollMs, nullptr);
  }
}

auto CallAndWait(http_client& client, http_call call) -> http_response {
  auto response = http_response();
  auto mutex = std::mutex();
  auto done = std::condition_variable();
  auto is_done = false;
  call.callbacks.on_head = [&](int status, const header_map& headers) {
    response.status = status;
    response.headers = headers;
  };
  call.callbacks.on_data = [&](std::string_view bytes) {
    response.body.append(bytes);
  };
  call.callbacks.on_end = [&](transfer_result end, const std::string& reason) {
    const auto lock = std::lock_guard(mutex);
    response.end = end;
    response.reason = reason;
    is_done = true;
    done.notify_one();
  };
  client.Call(std::move(call));
  auto lock = std::unique_lock(mutex);
  done.wait(lock, [&] { return is_done; });
  if (response.end != transfer_result::completed) {
    response.status = 0;
    response.headers.clear();
    response.body.clear();
  }
  return response;
}

}  // namespace ebony
