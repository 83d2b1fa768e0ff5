#include <string>
#include <utility>
#include <vector>

#include "documents_p.h"
#include "egretladder/kernel/log.h"
#include "gateway_p.h"

namespace egretladder::gateway {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

// Logs one line when the platform becomes unavailable and one when it is back.
// Rules and members stay in force meanwhile.
void LogPlatform(Gateway& gateway, const Fetched* fetched) {
  const bool answers =
      fetched != nullptr &&
      (fetched->status == HTTP_OK || fetched->status == HTTP_NOTMODIFIED);
  if (answers == gateway.platform_answers) return;
  gateway.platform_answers = answers;
  const std::string& address = gateway.options.platform;
  if (answers) {
    kernel::Log(LogPart::kPlatform, LogLevel::kInfo,
                "Platform " + address + " answers again.");
    return;
  }
  const std::string why = fetched == nullptr
                              ? "no answer"
                              : "status " + std::to_string(fetched->status);
  kernel::Log(LogPart::kPlatform, LogLevel::kWarning,
              "Platform " + address + " can't be read: " + why +
                  ". The rules in force stay.");
}

void CountPlatformCall(Gateway& gateway, const char* kind,
                       const Fetched* fetched) {
  LogPlatform(gateway, fetched);
  const std::string outcome =
      fetched == nullptr ? "unread" : std::to_string(fetched->status);
  kernel::Increment(
      gateway.metrics,
      kernel::AddCounter(
          gateway.metrics, "egretladder_platform_calls_total",
          "Calls to the platform, by kind and answer.",
          std::string("kind=\"") + kind + "\",answer=\"" + outcome + "\""));
}

ExchangeSpec SpecOf(const std::string& address, std::string uri,
                    std::chrono::milliseconds time) {
  ExchangeSpec spec;
  spec.address = address;
  spec.uri = std::move(uri);
  spec.answer_time = time;
  spec.idle_timeout = time;
  return spec;
}

void TakeDocument(Gateway& gateway, const Fetched* fetched) {
  node::Actions actions;
  const kernel::Time now = NowOf(gateway);
  const auto in_force = node::RulesOf(*gateway.node);
  if (fetched != nullptr && fetched->status == HTTP_OK) {
    node::OnRulesDocument(*gateway.node, &fetched->body, now, actions);
  } else if (fetched != nullptr && fetched->status == HTTP_NOTMODIFIED &&
             in_force) {
    // The watch ended without changes.
    node::OnRulesDocument(*gateway.node, &in_force->text, now, actions);
  } else {
    node::OnRulesDocument(*gateway.node, nullptr, now, actions);
  }
  Pump(gateway, std::move(actions));
}

}  // namespace

void ReadRulesDocument(Gateway& gateway, const fleet::ReadRulesDocument& read) {
  if (gateway.options.platform.empty()) {
    Later(gateway, [&gateway] { TakeDocument(gateway, nullptr); });
    return;
  }
  std::string uri = "/rules";
  auto time = kPlatformTime;
  if (read.watch) {
    uri += "?above=" + std::to_string(read.known_version) +
           "&wait_ms=" + std::to_string(kWatchTime.count());
    time += kWatchTime;
  }
  const char* kind = read.watch ? "watch" : "rules";
  Fetch(*gateway.client, SpecOf(gateway.options.platform, uri, time),
        kDocumentBytes, [&gateway, kind](const Fetched* fetched) {
          CountPlatformCall(gateway, kind, fetched);
          TakeDocument(gateway, fetched);
        });
}

void ReadVmList(Gateway& gateway) {
  const auto take = [&gateway](const std::vector<fleet::VmEntry>* vms) {
    node::Actions actions;
    node::OnVmList(*gateway.node, vms, NowOf(gateway), actions);
    Pump(gateway, std::move(actions));
  };
  if (gateway.options.platform.empty()) {
    Later(gateway, [take] { take(nullptr); });
    return;
  }
  ExchangeSpec spec = SpecOf(gateway.options.platform, "/vms", kPlatformTime);
  if (!gateway.vm_list.etag.empty()) {
    spec.headers.push_back({"If-None-Match", gateway.vm_list.etag});
  }
  Fetch(*gateway.client, std::move(spec), kDocumentBytes,
        [&gateway, take](const Fetched* fetched) {
          CountPlatformCall(gateway, "vms", fetched);
          take(fetched == nullptr ? nullptr
                                  : TakeVmList(gateway.vm_list, fetched->status,
                                               fetched->etag, fetched->body));
        });
}

void ReadReport(Gateway& gateway, rules::EndpointHandle endpoint) {
  const auto in_force = node::RulesOf(*gateway.node);
  if (!in_force || endpoint.idx >= in_force->endpoints.size()) return;
  Fetch(
      *gateway.client,
      SpecOf(in_force->endpoints[endpoint.idx].address, "/report", kReportTime),
      kDocumentBytes, [&gateway, endpoint](const Fetched* fetched) {
        const auto present = node::RulesOf(*gateway.node);
        node::Actions actions;
        if (fetched != nullptr && fetched->status == HTTP_OK && present) {
          const auto report = ReadEngineReport(fetched->body, *present);
          node::OnReport(*gateway.node, endpoint,
                         report ? &report.value() : nullptr, NowOf(gateway),
                         actions);
        } else {
          node::OnReport(*gateway.node, endpoint, nullptr, NowOf(gateway),
                         actions);
        }
        if (fetched != nullptr) {
          node::OnReportNotice(*gateway.node, endpoint, fetched->notice,
                               NowOf(gateway), actions);
        }
        Pump(gateway, std::move(actions));
      });
}

void OrderEngine(Gateway& gateway, const fleet::OrderEngine& order) {
  const auto in_force = node::RulesOf(*gateway.node);
  if (!in_force || order.endpoint.idx >= in_force->endpoints.size() ||
      order.target.idx >= in_force->targets.size()) {
    return;
  }
  const rules::Endpoint& endpoint = in_force->endpoints[order.endpoint.idx];
  ExchangeSpec spec = SpecOf(endpoint.address, "/orders", kReportTime);
  spec.method = EVHTTP_REQ_POST;
  spec.headers.push_back({"Content-Type", "application/json"});
  spec.body = std::make_shared<const std::string>(
      OrderText(order, in_force->targets[order.target.idx].source.name));
  Fetch(*gateway.client, std::move(spec), kDocumentBytes,
        [name = endpoint.source.name](const Fetched* fetched) {
          if (fetched != nullptr && fetched->status == HTTP_OK) return;
          kernel::Log(
              LogPart::kEndpoint, LogLevel::kWarning,
              "Order to " + name + " was not taken: " +
                  (fetched == nullptr ? "no answer"
                                      : std::to_string(fetched->status)) +
                  ".");
        });
}

}  // namespace egretladder::gateway
