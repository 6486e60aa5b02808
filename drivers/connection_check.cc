#include "drivers/connection_check.h"

#include <memory>
#include <utility>

#include "drivers/answer_status.h"
#include "drivers/http_message.h"
#include "drivers/stream_socket.h"

namespace ebony {

namespace {

struct running_check {
  std::shared_ptr<stream_socket> socket;
  std::function<void(connection_state)> on_done;
  timer_id timer;
};

// Reads what a server answers to a check up to the head of the final answer.
class answer_head_reader {
  event_loop& loop_;
  std::unique_ptr<http_reader> reader_;
  interim_limit interim_;
  answer_kind kind_ = answer_kind::interim;  // of the latest head
  std::string unparsed_;

  auto ExpectHead() -> void {
    auto hooks = http_reader::hooks();
    hooks.on_head = [this](const http_head& head) {
      kind_ = interim_.OnHead(head.status, loop_.get_now());
    };
    hooks.on_body = [](std::string_view) {};
    reader_ = std::make_unique<http_reader>(
        http_message_type::response, std::move(hooks), http_reader::limits());
  }

 public:
  explicit answer_head_reader(event_loop& loop) : loop_(loop) { ExpectHead(); }

  // Returns `interim` while the head of the final answer has not come.
  auto OnBytes(std::string_view bytes) -> answer_kind {
    unparsed_.append(bytes);
    while (!unparsed_.empty()) {
      auto consumed = std::size_t{0};
      const auto status = reader_->Feed(unparsed_, consumed);
      unparsed_.erase(0, consumed);
      if (reader_->has_head() && kind_ != answer_kind::interim) {
        return kind_;
      }
      if (status == parse_status::need_more) {
        return answer_kind::interim;
      }
      if (status != parse_status::complete) {
        return answer_kind::none;
      }
      ExpectHead();
    }
    return answer_kind::interim;
  }
};

auto EndCheck(event_loop& loop, running_check& check, connection_state state)
    -> void {
  const auto on_done = std::exchange(check.on_done, nullptr);
  if (!on_done) {
    return;
  }
  loop.CancelTimer(check.timer);
  on_done(state);
}

auto StartCheck(event_loop& loop,
                duration time_limit,
                std::function<void(connection_state)> on_done)
    -> std::shared_ptr<running_check> {
  auto check = std::make_shared<running_check>();
  check->socket = std::make_shared<stream_socket>(loop);
  check->on_done = std::move(on_done);
  check->timer = loop.AddTimerIn(time_limit, [&loop, check] {
    check->socket->Close();
    EndCheck(loop, *check, connection_state::unknown);
  });
  return check;
}

}  // namespace

auto CheckConnection(event_loop& loop,
                     const host_port& address,
                     duration time_limit,
                     std::function<void(connection_state)> on_done) -> void {
  const auto check = StartCheck(loop, time_limit, std::move(on_done));
  auto hooks = stream_socket::hooks();
  // Asked once the connection is open; the byte below is never sent.
  hooks.may_send = [&loop, check] {
    EndCheck(loop, *check, connection_state::accepted);
    return false;
  };
  hooks.on_close = [&loop, check](socket_close_reason reason) {
    EndCheck(loop, *check,
             reason == socket_close_reason::not_connected
                 ? connection_state::refused
                 : connection_state::accepted);
  };
  check->socket->Connect(address, std::move(hooks));
  check->socket->Send("x");
}

auto CheckAnswer(event_loop& loop,
                 const host_port& address,
                 const std::string& bytes,
                 duration time_limit,
                 std::function<void(connection_state)> on_done) -> void {
  const auto check = StartCheck(loop, time_limit, std::move(on_done));
  auto hooks = stream_socket::hooks();
  const auto reader = std::make_shared<answer_head_reader>(loop);
  hooks.on_bytes = [&loop, check, reader](std::string_view bytes) {
    const auto kind = reader->OnBytes(bytes);
    if (kind == answer_kind::interim) {
      return;
    }
    check->socket->Close();
    EndCheck(loop, *check,
             kind == answer_kind::final ? connection_state::accepted
                                        : connection_state::cut_off);
  };
  hooks.on_close = [&loop, check](socket_close_reason reason) {
    EndCheck(loop, *check,
             reason == socket_close_reason::not_connected
                 ? connection_state::refused
                 : connection_state::cut_off);
  };
  check->socket->Connect(address, std::move(hooks));
  check->socket->Send(bytes);
}

}  // namespace ebony
