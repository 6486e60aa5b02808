#include <utility>

#include "drivers/http_connection.h"
#include "drivers/http_listener.h"

namespace ebony {

response_writer::response_writer(std::weak_ptr<http_connection> connection,
                                 bool is_head_request)
    : connection_(std::move(connection)), is_head_request_(is_head_request) {}

auto response_writer::Respond(http_head head, std::string_view body) -> void {
  const auto connection = connection_.lock();
  if (is_final_ || has_begun_ || connection == nullptr) {
    return;
  }
  is_final_ = true;
  on_disconnect_ = nullptr;
  const auto closes = connection->ClosesAfterResponse();
  // A response with one of these status codes has neither body nor length.
  const auto is_bodyless = head.status == 204 || head.status == 304;
  if (!is_bodyless) {
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
  }
  if (closes) {
    head.fields.push_back({"Connection", "close"});
  }
  auto bytes = RenderResponseHead(head);
  if (!is_head_request_ && !is_bodyless) {
    bytes.append(body);
  }
  connection->Send(bytes);
  connection->OnResponseFinal(!closes);
}

auto response_writer::Begin(http_head head) -> void {
  const auto connection = connection_.lock();
  if (is_final_ || has_begun_ || connection == nullptr) {
    return;
  }
  has_begun_ = true;
  head.fields.push_back({"Transfer-Encoding", "chunked"});
  if (connection->ClosesAfterResponse()) {
    head.fields.push_back({"Connection", "close"});
  }
  connection->Send(RenderResponseHead(head));
}

auto response_writer::Append(std::string_view bytes) -> void {
  const auto connection = connection_.lock();
  if (is_final_ || !has_begun_ || bytes.empty() || connection == nullptr) {
    return;
  }
  connection->Send(RenderChunk(bytes));
}

auto response_writer::Finish() -> void {
  const auto connection = connection_.lock();
  if (is_final_ || !has_begun_ || connection == nullptr) {
    return;
  }
  is_final_ = true;
  on_disconnect_ = nullptr;
  const auto closes = connection->ClosesAfterResponse();
  connection->Send(RenderChunk({}));
  connection->OnResponseFinal(!closes);
}

auto response_writer::Abort() -> void {
  const auto connection = connection_.lock();
  if (is_final_ || connection == nullptr) {
    return;
  }
  is_final_ = true;
  on_disconnect_ = nullptr;
  connection->OnResponseFinal(false);
}

auto response_writer::SetOnDisconnect(std::function<void()> hook) -> void {
  on_disconnect_ = std::move(hook);
}

auto response_writer::GetUnsentBytes() const -> std::size_t {
  const auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->get_unsent_bytes();
}

}  // namespace ebony
