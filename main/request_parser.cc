#include "main/request_parser.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "core/hashing.h"

namespace ebony {

namespace {

using nlohmann::json;

constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kPromptPrefixBytes = 512;
// Urgencies of RFC 9218: 0 and 1 map to urgent, 2 to 4 to interactive, and 5 to
// 7 to batch.
constexpr int kLastUrgent = 1;
constexpr int kLastInteractive = 4;
constexpr int kLastUrgency = 7;

// Throws ebony_error for a value that is not 1 ms to the maximum.
auto ParseTimeout(const std::string& text, const request_limits& limits)
    -> duration {
  if (text.empty()) {
    return limits.default_timeout;
  }
  auto ms = std::int64_t{0};
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, ms);
  const auto timeout = duration(std::chrono::milliseconds(ms));
  if (result.ec != std::errc() || result.ptr != end || ms <= 0 ||
      timeout > limits.max_timeout) {
    const auto max = std::chrono::duration_cast<std::chrono::milliseconds>(
        limits.max_timeout);
    throw ebony_error(error_kind::invalid_request,
                      "X-Request-Timeout-Ms: '" + text + "' must be 1 to " +
                          std::to_string(max.count()));
  }
  return timeout;
}

auto ParseUrgency(const std::string& text) -> std::optional<priority_class> {
  if (text.empty()) {
    return std::nullopt;
  }
  const auto is_valid = text.size() >= 3 && text.starts_with("u=") &&
                        text[2] >= '0' && text[2] <= '0' + kLastUrgency &&
                        (text.size() == 3 || text[3] == ',');
  if (!is_valid) {
    throw ebony_error(error_kind::invalid_request,
                      "Priority: '" + text + "' must be u=0 to u=7");
  }
  const auto urgency = text[2] - '0';
  if (urgency <= kLastUrgent) {
    return priority_class::urgent;
  }
  return urgency <= kLastInteractive ? priority_class::interactive
                                     : priority_class::batch;
}

// Returns the start of the prompt, for which engines keep prefix caches.
auto GetPromptPrefix(const json& body) -> std::string {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"].get<std::string>().substr(0, kPromptPrefixBytes);
  }
  if (body.contains("messages") && body["messages"].is_array()) {
    return body["messages"]
        .dump(-1, ' ', false, json::error_handler_t::replace)
        .substr(0, kPromptPrefixBytes);
  }
  return "";
}

auto ParseModel(const json& body, caller_request& out) -> void {
  if (!body.contains("model") || !body["model"].is_string()) {
    throw ebony_error(error_kind::invalid_request, "model: required, a string");
  }
  const auto name = body["model"].get<std::string>();
  const auto colon = name.find(':');
  out.model = model_name(name.substr(0, colon));
  if (colon != std::string::npos) {
    out.adapter = adapter_name(name.substr(colon + 1));
  }
}

auto ParseCompletion(const http_request& request, caller_request& out) -> void {
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    throw ebony_error(error_kind::invalid_request,
                      "body: must be a JSON object");
  }
  ParseModel(body, out);
  if (body.contains("stream")) {
    if (!body["stream"].is_boolean()) {
      throw ebony_error(error_kind::invalid_request,
                        "stream: must be true or false");
    }
    out.is_stream = body["stream"].get<bool>();
  }
  const auto has_prompt =
      request.path == "/v1/completions"
          ? body.contains("prompt")
          : body.contains("messages") && body["messages"].is_array();
  if (!has_prompt) {
    throw ebony_error(error_kind::invalid_request,
                      request.path == "/v1/completions"
                          ? "prompt: required"
                          : "messages: required, an array");
  }
  const auto prefix = GetPromptPrefix(body);
  out.prefix_hash =
      prefix.empty() ? 0 : HashBytes(prefix, HashBytes(out.model.get()));
}

}  // namespace

auto ParseServicePath(const std::string& path) -> std::optional<service_path> {
  if (!path.starts_with(kServicesPath)) {
    return std::nullopt;
  }
  const auto suffix = path.substr(kServicesPath.size());
  const auto slash = suffix.find('/');
  const auto name = suffix.substr(0, slash);
  if (name.empty()) {
    return std::nullopt;
  }
  return service_path{service_name(name),
                      slash == std::string::npos ? "/" : suffix.substr(slash)};
}

auto ParseCallerRequest(const http_request& request,
                        const std::string& caller,
                        const request_limits& limits,
                        mono_time now) -> caller_request {
  auto out = caller_request();
  out.caller =
      caller_name(caller.empty() ? request.GetHeader("x-caller-id") : caller);
  out.deadline =
      now + ParseTimeout(request.GetHeader("x-request-timeout-ms"), limits);
  out.priority = ParseUrgency(request.GetHeader("priority"));
  const auto key = request.GetHeader("idempotency-key");
  if (key.size() > kMaxKeyBytes) {
    throw ebony_error(error_kind::invalid_request,
                      "Idempotency-Key: at most 256 characters");
  }
  if (!key.empty()) {
    // The key is scoped to its caller.
    out.key = request_key(out.caller.get() + "\n" + key);
  }
  if (const auto service = ParseServicePath(request.path)) {
    out.service = service->service;
    out.is_retryable = request.method == "GET" && key.empty();
  } else {
    if (request.method != "POST") {
      throw ebony_error(error_kind::invalid_request,
                        request.path + ": use POST");
    }
    ParseCompletion(request, out);
    out.is_retryable = key.empty();
  }
  out.fingerprint =
      HashBytes(request.body, HashBytes(request.method + " " + request.path));
  return out;
}

}  // namespace ebony
