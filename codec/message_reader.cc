#include "codec/message_reader.h"

#include <algorithm>

#include "core/text.h"

namespace ebony {

namespace {

template <typename... Texts>
auto AreUtf8(const Texts&... texts) -> bool {
  return (IsUtf8(texts) && ...);
}

template <typename Texts>
auto AreAllUtf8(const Texts& texts) -> bool {
  return std::all_of(texts.begin(), texts.end(),
                     [](const std::string& text) { return IsUtf8(text); });
}

auto IsReadable(const schema::held_model_row& row) -> bool {
  return IsUtf8(row.name()) && AreAllUtf8(row.adapters());
}

auto IsReadable(const schema::backend_status_row& row) -> bool {
  return AreUtf8(row.id(), row.service(), row.address(), row.data_centre(),
                 row.software()) &&
         AreAllUtf8(row.in_memory()) && AreAllUtf8(row.on_disk()) &&
         std::all_of(row.models().begin(), row.models().end(),
                     [](const auto& model) { return IsReadable(model); });
}

auto IsReadable(const schema::demand_row& row) -> bool {
  return AreUtf8(row.service(), row.model(), row.adapter());
}

auto IsReadable(const schema::relayed_gateway_row& row) -> bool {
  return AreUtf8(row.vm(), row.caller_address(), row.data_centre());
}

auto IsReadable(const schema::gateway_row& row) -> bool {
  return AreUtf8(row.vm(), row.caller_address(), row.data_centre());
}

auto IsReadable(const schema::relay_row& row) -> bool {
  return AreUtf8(row.link(), row.data_centre());
}

auto IsReadable(const schema::peer_row& row) -> bool {
  return AreUtf8(row.vm(), row.address(), row.data_centre());
}

auto IsReadable(const schema::software_row& row) -> bool {
  return AreUtf8(row.service(), row.software());
}

auto IsReadable(const schema::begun_streams_row& row) -> bool {
  return AreUtf8(row.service(), row.software());
}

auto IsReadable(const schema::trial_row& row) -> bool {
  return IsUtf8(row.vm());
}

// Returns the number of rows that were erased.
template <typename Rows>
auto EraseUnreadable(Rows& rows) -> std::size_t {
  const auto first =
      std::remove_if(rows.begin(), rows.end(),
                     [](const auto& row) { return !IsReadable(row); });
  const auto count = static_cast<std::size_t>(rows.end() - first);
  rows.erase(first, rows.end());
  return count;
}

auto EraseUnreadableRows(schema::sync_request& message) -> std::size_t {
  return EraseUnreadable(*message.mutable_demands()) +
         EraseUnreadable(*message.mutable_relayed()) +
         EraseUnreadable(*message.mutable_begun_streams()) +
         EraseUnreadable(*message.mutable_trials());
}

auto EraseUnreadableRows(schema::sync_answer& message) -> std::size_t {
  return EraseUnreadable(*message.mutable_backends()) +
         EraseUnreadable(*message.mutable_gateways()) +
         EraseUnreadable(*message.mutable_relays()) +
         EraseUnreadable(*message.mutable_peers()) +
         EraseUnreadable(*message.mutable_software()) +
         EraseUnreadable(*message.mutable_origins()) +
         EraseUnreadable(*message.mutable_trials());
}

auto EraseUnreadableRows(schema::announce_batch& message) -> std::size_t {
  return EraseUnreadable(*message.mutable_backends());
}

auto EraseUnreadableRows(schema::fact_batch& message) -> std::size_t {
  return EraseUnreadable(*message.mutable_streams()) +
         EraseUnreadable(*message.mutable_departures());
}

template <typename Message>
auto ParseAndErase(const std::string& bytes, Message& message)
    -> std::optional<std::size_t> {
  if (!message.ParseFromString(bytes)) {
    return std::nullopt;
  }
  return EraseUnreadableRows(message);
}

}  // namespace

auto ReadMessage(const std::string& bytes, schema::sync_request& message)
    -> std::optional<std::size_t> {
  return ParseAndErase(bytes, message);
}

auto ReadMessage(const std::string& bytes, schema::sync_answer& message)
    -> std::optional<std::size_t> {
  return ParseAndErase(bytes, message);
}

auto ReadMessage(const std::string& bytes, schema::announce_batch& message)
    -> std::optional<std::size_t> {
  return ParseAndErase(bytes, message);
}

auto ReadMessage(const std::string& bytes, schema::fact_batch& message)
    -> std::optional<std::size_t> {
  return ParseAndErase(bytes, message);
}

}  // namespace ebony
