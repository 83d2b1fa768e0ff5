// How a caller of the load tool finds nodes: `/where`, kept as long as it says.
#include <rapidjson/document.h>

#include <utility>

#include "load_run_p.h"

namespace egretladder::lab {
namespace {

/// A caller that finds no node asks this often before it gives the call up, and
/// waits this long between.
constexpr std::uint32_t kMostAsks = 20;
constexpr std::chrono::milliseconds kAskPause{100};

void Ask(LoadRun& run, std::size_t index);

void TakeWhere(LoadRun& run, LoadClient& client, const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.c_str());
  if (document.HasParseError() || !document.IsObject()) return;
  const auto addresses = document.FindMember("addresses");
  if (addresses == document.MemberEnd() || !addresses->value.IsArray()) return;
  client.addresses.clear();
  for (const auto& text : addresses->value.GetArray()) {
    if (!text.IsString()) continue;
    const auto address = ParseLoopback(text.GetString());
    if (address) client.addresses.push_back(address.value());
  }
  const auto lane = document.FindMember("lane");
  client.lane = lane != document.MemberEnd() && lane->value.IsString()
                    ? lane->value.GetString()
                    : "";
  const auto keep = document.FindMember("keep_for_ms");
  const std::int64_t keep_for =
      keep != document.MemberEnd() && keep->value.IsInt64()
          ? keep->value.GetInt64()
          : 0;
  client.keep_until =
      kernel::Now(run.loop.clock) + std::chrono::milliseconds(keep_for);
}

void OnWhere(LoadRun& run, std::size_t index, const HttpAnswer& answer) {
  LoadClient& client = run.clients[index];
  client.asking = false;
  if (answer.status == HTTP_OK) TakeWhere(run, client, answer.body);
  if (answer.status != HTTP_OK || client.addresses.empty()) {
    ++client.next_node;
    if (++client.failed_asks < kMostAsks) {
      client.asking = true;
      Delay(run, kAskPause, [&run, index] { Ask(run, index); });
      return;
    }
  }
  const bool found = client.failed_asks < kMostAsks;
  client.failed_asks = 0;
  for (const std::uint64_t number : std::exchange(client.waiting, {})) {
    if (found) {
      SendAttempt(run, number);
    } else {
      EndCall(run, number, CallEnd::kNotSent);
    }
  }
}

void Ask(LoadRun& run, std::size_t index) {
  LoadClient& client = run.clients[index];
  client.asking = true;
  ++run.result.where_calls;
  HttpCall call;
  call.path = "/where?zone=" + client.zone;
  call.on_done = [&run, index](const HttpAnswer& answer) {
    OnWhere(run, index, answer);
  };
  const auto& nodes = run.options.nodes;
  if (!run.http.Send(nodes[client.next_node % nodes.size()], std::move(call))) {
    OnWhere(run, index, HttpAnswer{});
  }
}

}  // namespace

void ForgetWhere(LoadRun& run, std::size_t client) {
  run.clients[client].keep_until = Time{};
  // Whoever answered last may be the one that went away.
  ++run.clients[client].next_node;
}

void PlaceCall(LoadRun& run, std::uint64_t number) {
  const LoadCall& call = run.calls.at(number);
  if (run.options.direct) {
    SendAttempt(run, number);
    return;
  }
  LoadClient& client = run.clients[call.client];
  const bool good =
      kernel::Now(run.loop.clock) < client.keep_until &&
      !client.addresses.empty() &&
      (call.repeatable || !call.key.empty() || !client.lane.empty());
  if (good) {
    SendAttempt(run, number);
    return;
  }
  client.waiting.push_back(number);
  if (!client.asking) Ask(run, call.client);
}

}  // namespace egretladder::lab
