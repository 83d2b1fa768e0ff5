// The harness's store, and the dialect in which nodes read it.
#include "harness_store.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "egretladder/kernel/registry.h"
#include "egretladder/proxy/dialect.h"
#include "harness.h"

namespace egretladder::proxy::test {

using namespace std::chrono_literals;

namespace {

std::map<std::string, routing::RouteTablePtr>& Tables() {
  static std::map<std::string, routing::RouteTablePtr> tables;
  return tables;
}

constexpr std::string_view kZoneOutPrefix = "out/";

// The text behind the prefix; empty if the text doesn't begin with it.
std::string StripPrefix(std::string_view text, std::string_view prefix) {
  return text.starts_with(prefix) ? std::string(text.substr(prefix.size()))
                                  : "";
}

std::string FeedName(routing::Feed feed) {
  return feed == routing::Feed::kEndpoints ? "endpoints" : "rules";
}

std::string ListTarget(routing::Feed feed, std::string_view /*after*/) {
  return "/" + FeedName(feed) + "/0";
}

std::string WatchTarget(routing::Feed feed, std::uint64_t revision,
                        milliseconds wait) {
  return "/" + FeedName(feed) + "/" + std::to_string(revision) +
         "?wait=" + std::to_string(wait.count());
}

// Parses the store's revision, followed by one line for each item: key,
// revision, `-` for a removed item or `+`, and value.
kernel::Result<StorePage> ReadPage(const std::string& body) {
  std::istringstream lines(body);
  StorePage page;
  lines >> page.revision;
  std::string sign;
  routing::Item item;
  while (lines >> item.key >> item.rev >> sign) {
    lines.get();
    std::getline(lines, item.value);
    item.removed = sign == "-";
    page.items.push_back(item);
  }
  return page;
}

kernel::Result<StoreChanges> ReadChanges(routing::Feed feed,
                                         const std::string& body) {
  BOOST_OUTCOME_TRY(page, ReadPage(body));
  return StoreChanges{{feed, false, page.revision, std::move(page.items)}};
}

bool IsRules(std::string_view key) { return key == "rules"; }
std::string ZoneOut(std::string_view key) {
  return StripPrefix(key, kZoneOutPrefix);
}
std::string EndpointId(std::string_view key) {
  return StripPrefix(key, kEndpointPrefix);
}

kernel::Result<routing::RouteTablePtr> ReadRules(const std::string& value) {
  return Tables().at(value);
}

// Parses `ADDRESS ZONE STATE SLOTS VERSION SERVICE`; the last two may be
// missing.
kernel::Result<routing::EndpointEntry> ReadEndpoint(const routing::Item& item) {
  routing::EndpointEntry entry;
  entry.id = EndpointId(item.key);
  entry.service = "all";
  std::string state;
  std::istringstream fields(item.value);
  fields >> entry.address >> entry.zone >> state >> entry.slots >>
      entry.software_version;
  if (std::string service; fields >> service) entry.service = service;
  entry.leaving = state == "leaving";
  return entry;
}

std::string RequestId(const net::HttpRequest& request) {
  return std::string(net::FirstFieldValue(request.fields, "X-Id"));
}

kernel::Result<RequestMetadata> ReadCall(const net::HttpRequest& request) {
  RequestMetadata metadata;
  metadata.id = RequestId(request);
  metadata.key = net::FirstFieldValue(request.fields, "X-Key");
  metadata.deadline = milliseconds(std::atoi(
      std::string(net::FirstFieldValue(request.fields, "X-Wait-Ms")).c_str()));
  return metadata;
}

net::HttpFields EndpointFields(const net::HttpRequest& request,
                               const ForwardMetadata& metadata) {
  const std::string after =
      metadata.resume_after.empty()
          ? std::string(net::FirstFieldValue(request.fields, "X-After"))
          : metadata.resume_after;
  return {{"Host", "h"}, {"X-Id", RequestId(request)}, {"X-After", after}};
}

net::HttpFields PeerFields(const net::HttpRequest& request,
                           milliseconds time_left,
                           const std::string& resume_after) {
  net::HttpFields fields;
  for (const net::HttpField& field : request.fields) {
    const bool is_replaced = field.name == "X-Wait-Ms" ||
                             (!resume_after.empty() && field.name == "X-After");
    if (!is_replaced && !net::IsHopByHopField(field.name))
      fields.push_back(field);
  }
  fields.push_back({"X-Wait-Ms", std::to_string(time_left.count())});
  if (!resume_after.empty()) fields.push_back({"X-After", resume_after});
  return fields;
}

AnswerMetadata ReadAnswer(const net::HttpAnswerHead& head) {
  AnswerMetadata metadata;
  metadata.id = net::FirstFieldValue(head.fields, "X-Id");
  metadata.not_run = net::CountFields(head.fields, "X-Not-Run") > 0;
  metadata.sealed = net::CountFields(head.fields, "X-Seal") > 0;
  metadata.notice.leaving = net::CountFields(head.fields, "X-Leaving") > 0;
  metadata.is_event_stream =
      net::FirstFieldValue(head.fields, "Content-Type") == "text/event-stream";
  return metadata;
}

bool IsDirectory(std::string_view target, std::string* zone) {
  *zone = StripPrefix(target, "/nodes/");
  return !zone->empty();
}

std::string DirectoryBody(const std::vector<std::string>& addresses,
                          milliseconds /*keep_for*/) {
  std::string body;
  for (const std::string& address : addresses) body += address + "\n";
  return body;
}

bool IsReadinessRequest(std::string_view target) { return target == "/ready"; }

StoreEraStatement ReadStoreEra(const net::HttpAnswerHead& /*head*/) {
  return {};
}

constexpr Dialect kTestDialect = {
    .list_target = ListTarget,
    .watch_target = WatchTarget,
    .read_store_era = ReadStoreEra,
    .read_page = ReadPage,
    .read_changes = ReadChanges,
    .is_rules_key = IsRules,
    .zone_out = ZoneOut,
    .read_rules = ReadRules,
    .endpoint_id = EndpointId,
    .read_endpoint = ReadEndpoint,
    .request_id = RequestId,
    .read_call = ReadCall,
    .endpoint_fields = EndpointFields,
    .peer_fields = PeerFields,
    .read_answer = ReadAnswer,
    .weights_field = [] { return std::string_view(); },
    .read_weights = [](std::string_view /*value*/) -> routing::Weights {
      return std::nullopt;
    },
    .report_target = [] { return std::string(kReportTarget); },
    .read_process_start = [](const std::string& /*body*/) -> std::uint64_t {
      return 0;
    },
    .is_directory_request = IsDirectory,
    .directory_body = DirectoryBody,
    .is_readiness_request = IsReadinessRequest,
};
const kernel::PluginRegistrar<Dialect> kRegistrar("plain", kTestDialect);

bool IsOfFeed(const std::string& key, std::string_view feed) {
  return key.starts_with(kEndpointPrefix) == (feed == "endpoints");
}

}  // namespace

FakeStore::FakeStore(kernel::Loop& loop)
    : server_(loop, {.on_request =
                         [this](const net::HttpCallPtr& call) {
                           HandleRequest(call);
                         },
                     .on_refused = {},
                     .refusal_body = {},
                     .make_buffer = {}}) {
  if (!server_.Listen("127.0.0.1:0")) std::abort();
  watch_end_timer_ = kernel::RunEvery(loop, 2s, [this] { EndWatches(); });
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_, false};
  AnswerChangedWatches();
}

void FakeStore::Remove(const std::string& key) {
  items_[key] = {"", ++revision_, true};
  AnswerChangedWatches();
}

void FakeStore::SetUnavailable(bool unavailable) {
  is_unavailable_ = unavailable;
  AnswerChangedWatches();
}

void FakeStore::SetSilent(bool silent) {
  is_silent_ = silent;
  watches_.clear();
}

void FakeStore::HandleRequest(const net::HttpCallPtr& call) {
  ++call_count_;
  const std::string& target = call->request().target;
  const std::size_t wait = target.find("?wait=");
  last_wait_ = milliseconds(
      wait == std::string::npos
          ? 0
          : std::strtol(target.c_str() + wait + std::strlen("?wait="), nullptr,
                        10));
  if (is_silent_) {
    ++unanswered_;
  } else if (!TryAnswer(call)) {
    watches_.push_back(call);
  }
}

bool FakeStore::TryAnswer(const net::HttpCallPtr& call) {
  if (call->over()) return true;
  if (is_unavailable_) {
    call->Answer(503, "Away", {}, "");
    return true;
  }
  const std::string& target = call->request().target;
  const std::size_t slash = target.rfind('/');
  const std::string feed = target.substr(1, slash - 1);
  const std::uint64_t after =
      std::strtoull(target.c_str() + slash + 1, nullptr, 10);
  std::string body = std::to_string(revision_) + "\n";
  bool changed = false;
  for (const auto& [key, item] : items_) {
    if (!IsOfFeed(key, feed) || item.rev <= after) continue;
    if (after == 0 && item.removed) continue;
    changed = true;
    body += key + " " + std::to_string(item.rev) +
            (item.removed ? " - " : " + ") + item.value + "\n";
  }
  if (after > 0 && !changed) return false;
  call->Answer(200, "OK", {}, body);
  return true;
}

void FakeStore::AnswerChangedWatches() {
  watches_.remove_if(
      [this](const net::HttpCallPtr& call) { return TryAnswer(call); });
}

void FakeStore::EndWatches() {
  for (const net::HttpCallPtr& call : watches_) {
    call->Answer(200, "OK", {}, std::to_string(revision_) + "\n");
  }
  watches_.clear();
}

void PublishTable(const std::string& name, routing::RouteTablePtr table) {
  Tables()[name] = std::move(table);
}

}  // namespace egretladder::proxy::test
