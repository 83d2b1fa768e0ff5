#include <event2/keyvalq_struct.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdio>

#include "gateway_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr const char* kJson = "application/json";
constexpr const char* kText = "text/plain; charset=utf-8";

void Put(Writer& writer, const char* key, std::string_view value) {
  writer.Key(key);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void Put(Writer& writer, const char* key, std::uint64_t value) {
  writer.Key(key);
  writer.Uint64(value);
}

void Put(Writer& writer, const char* key, std::chrono::milliseconds value) {
  writer.Key(key);
  writer.Int64(value.count());
}

void PutFlag(Writer& writer, const char* key, bool value) {
  writer.Key(key);
  writer.Bool(value);
}

std::string QueryOf(const net::HttpCallPtr& request, const char* key) {
  const std::string& target = request->request().target;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return "";
  evkeyvalq values{};
  if (evhttp_parse_query_str(target.c_str() + mark + 1, &values) != 0) {
    return "";
  }
  const std::string value(HeaderOf(&values, key));
  evhttp_clear_headers(&values);
  return value;
}

std::string WhereText(Gateway& gateway, const std::string& zone) {
  const node::WhereAnswer where =
      node::Where(*gateway.node, zone, NowOf(gateway));
  rapidjson::StringBuffer text;
  Writer writer(text);
  writer.StartObject();
  writer.Key("addresses");
  writer.StartArray();
  for (const std::string& address : where.addresses) {
    writer.String(address.c_str());
  }
  writer.EndArray();
  Put(writer, "keep_for_ms", where.keep_for);
  Put(writer, "lane", where.lane);
  Put(writer, "lane_address", where.lane_address);
  writer.EndObject();
  return text.GetString();
}

std::string ModelsText(const rules::Rules* rules) {
  rapidjson::StringBuffer text;
  Writer writer(text);
  writer.StartObject();
  Put(writer, "object", "list");
  writer.Key("data");
  writer.StartArray();
  if (rules != nullptr) {
    for (const rules::Target& target : rules->targets) {
      if (!target.source.present || target.kind != rules::TargetKind::kModel) {
        continue;
      }
      writer.StartObject();
      Put(writer, "id", target.source.name);
      Put(writer, "object", "model");
      writer.EndObject();
    }
  }
  writer.EndArray();
  writer.EndObject();
  return text.GetString();
}

void PutFleet(Writer& writer, const fleet::FleetView& fleet) {
  Put(writer, "rules_version", fleet.rules_version);
  char digest[20];
  std::snprintf(digest, sizeof(digest), "%016llx",
                static_cast<unsigned long long>(fleet.rules_digest));
  Put(writer, "rules_digest", digest);
  Put(writer, "rules_in_force_for_ms", fleet.rules_in_force_for);
  if (!fleet.refused_why.empty()) {
    Put(writer, "refused_version", fleet.refused_version);
    Put(writer, "refused_why", fleet.refused_why);
  }
  Put(writer, "keeper_of", std::uint64_t{fleet.keeper_of});
  writer.Key("members");
  writer.StartArray();
  for (const fleet::Member& member : fleet.members) {
    writer.StartObject();
    Put(writer, "node", member.node);
    Put(writer, "zone", member.zone);
    Put(writer, "state", fleet::NameOf(member.state));
    Put(writer, "callers", member.caller_address);
    Put(writer, "peers", member.peer_address);
    Put(writer, "heartbeat", member.heartbeat);
    writer.EndObject();
  }
  writer.EndArray();
}

void PutScheduler(Writer& writer, const policy::SchedulerView& scheduler,
                  const rules::Rules* rules) {
  writer.Key("endpoints");
  writer.StartArray();
  for (const policy::EndpointView& endpoint : scheduler.endpoints) {
    writer.StartObject();
    if (rules != nullptr && endpoint.endpoint.idx < rules->endpoints.size()) {
      Put(writer, "endpoint",
          rules->endpoints[endpoint.endpoint.idx].source.name);
    }
    Put(writer, "slots", std::uint64_t{endpoint.slots});
    Put(writer, "in_flight", std::uint64_t{endpoint.in_flight});
    Put(writer, "first_token_ms", endpoint.first_token);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("queues");
  writer.StartArray();
  for (const policy::ClassView& cls : scheduler.classes) {
    writer.StartObject();
    if (rules != nullptr && cls.cls.idx < rules->classes.size()) {
      Put(writer, "class", rules->classes[cls.cls.idx].source.name);
    }
    Put(writer, "waiting", std::uint64_t{cls.waiting});
    Put(writer, "running", std::uint64_t{cls.running});
    Put(writer, "oldest_wait_ms", cls.oldest_wait);
    writer.EndObject();
  }
  writer.EndArray();
}

std::string StatusText(Gateway& gateway) {
  const node::NodeView view = node::ViewOf(*gateway.node, NowOf(gateway));
  const auto rules = node::RulesOf(*gateway.node);
  rapidjson::StringBuffer text;
  Writer writer(text);
  writer.StartObject();
  Put(writer, "node", gateway.options.node.fleet.node);
  Put(writer, "zone", gateway.options.node.fleet.zone);
  PutFlag(writer, "ready", view.ready);
  PutFlag(writer, "leaving", view.leaving);
  PutFleet(writer, view.fleet);
  PutScheduler(writer, view.scheduler, rules.get());
  Put(writer, "calls", std::uint64_t{view.calls});
  Put(writer, "lane_keys", std::uint64_t{view.lanes.keys});
  Put(writer, "lane_bytes", std::uint64_t{view.lanes.bytes});
  Put(writer, "connections",
      std::uint64_t{gateway.front.server->connections()});
  Put(writer, "peers", std::uint64_t{CountPeers(*gateway.peers)});
  writer.EndObject();
  return text.GetString();
}

std::string MetricsText(Gateway& gateway) {
  const CallMetrics& calls = gateway.call_metrics;
  kernel::Metrics& metrics = gateway.metrics;
  kernel::Set(metrics, calls.resident, static_cast<double>(ResidentBytes()));
  kernel::Set(metrics, calls.connections,
              static_cast<double>(gateway.front.server->connections()));
  kernel::Set(metrics, calls.calls, static_cast<double>(gateway.calls.size()));
  return kernel::PrometheusText(metrics);
}

void AnswerReady(Gateway& gateway, const net::HttpCallPtr& request) {
  const bool ready = node::ViewOf(*gateway.node, NowOf(gateway)).ready;
  ReplyText(request, ready ? HTTP_OK : HTTP_SERVUNAVAIL, kText,
            ready ? "ready\n" : "not ready\n");
}

}  // namespace

bool AnswerPage(Gateway& gateway, const net::HttpCallPtr& request,
                const std::string& path) {
  if (path == "/where") {
    ReplyText(request, HTTP_OK, kJson,
              WhereText(gateway, QueryOf(request, "zone")));
  } else if (path == "/v1/models") {
    const auto rules = node::RulesOf(*gateway.node);
    ReplyText(request, HTTP_OK, kJson, ModelsText(rules.get()));
  } else if (path == "/metrics") {
    ReplyText(request, HTTP_OK, "text/plain; version=0.0.4",
              MetricsText(gateway));
  } else if (path == "/healthz") {
    ReplyText(request, HTTP_OK, kText, "ok\n");
  } else if (path == "/readyz") {
    AnswerReady(gateway, request);
  } else if (path == "/status") {
    ReplyText(request, HTTP_OK, kJson, StatusText(gateway));
  } else {
    return false;
  }
  return true;
}

}  // namespace egretladder::gateway
