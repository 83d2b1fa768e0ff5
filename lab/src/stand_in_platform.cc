// The platform over HTTP: rules, watches and the VM list.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <chrono>
#include <cstdlib>
#include <list>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/ini.h"
#include "egretladder/lab/config.h"
#include "egretladder/lab/platform_model.h"
#include "egretladder/lab/stand_in.h"
#include "stand_in_p.h"

namespace egretladder::lab {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
/// Longer than a node waits for a plain read.
constexpr std::chrono::milliseconds kSlowRead{3000};
/// A watch waits no longer, whatever it asks.
constexpr std::chrono::milliseconds kLongestWatch{60'000};

using Answer = std::function<void(OpenCall&)>;

/// A read that waits: for a newer version, or out of slowness.
struct Waiting {
  std::unique_ptr<OpenCall> call;
  std::uint64_t above = 0;
  bool is_watch = false;
  kernel::EventWatcher timer;
};

struct Platform {
  kernel::Loop& loop;
  PlatformState model;
  std::map<std::uint64_t, Waiting> waiting;
  std::uint64_t next_waiting = 1;
};

/// Ends a waiting read, unless its client went away meanwhile.
void Release(Platform& platform, std::uint64_t number, const Answer& answer) {
  const auto at = platform.waiting.find(number);
  if (at == platform.waiting.end()) return;
  const Waiting waiting = std::move(at->second);
  platform.waiting.erase(at);
  answer(*waiting.call);
}

std::uint64_t Hold(Platform& platform, evhttp_request* request,
                   std::chrono::milliseconds time, Answer answer) {
  const std::uint64_t number = platform.next_waiting++;
  Waiting& waiting = platform.waiting[number];
  waiting.call = std::make_unique<OpenCall>(
      request, [&platform, number] { platform.waiting.erase(number); });
  waiting.timer = kernel::RunAfter(
      platform.loop, time, [&platform, number, answer = std::move(answer)] {
        Release(platform, number, answer);
      });
  return number;
}

void AnswerRules(const Platform& platform, OpenCall& call) {
  const Publication* served = Served(platform.model);
  if (served == nullptr) {
    call.Answer(kUnavailable, "text/plain", "nothing is published yet\n");
  } else {
    call.Answer(kOk, "text/plain", served->text);
  }
}

void TakeWatch(Platform& platform, evhttp_request* request,
               const std::string& above) {
  ++platform.model.counts.watches;
  const std::uint64_t version = std::strtoull(above.c_str(), nullptr, 10);
  const Publication* served = Served(platform.model);
  if (served != nullptr && served->version > version) {
    Reply(request, kOk, "text/plain", served->text);
    return;
  }
  if (platform.waiting.size() >= kMaxWatches) {
    Reply(request, kUnavailable, "text/plain", "too many watches\n");
    return;
  }
  const auto wait = std::chrono::milliseconds(
      std::strtoll(QueryOf(request, "wait_ms").c_str(), nullptr, 10));
  const std::uint64_t number =
      Hold(platform, request, std::min(wait, kLongestWatch),
           [](OpenCall& call) { call.Answer(kNotModified, "text/plain", ""); });
  platform.waiting[number].above = version;
  platform.waiting[number].is_watch = true;
}

/// True when the reader has the VM list already, as its `If-None-Match` says.
bool HasVms(const Platform& platform, evhttp_request* request) {
  const std::string tag =
      "\"" + std::to_string(kernel::HashBytes(platform.model.vms)) + "\"";
  evhttp_add_header(evhttp_request_get_output_headers(request), "ETag",
                    tag.c_str());
  return HeaderOf(request, "If-None-Match") == tag;
}

void TakeRead(Platform& platform, evhttp_request* request, bool is_rules) {
  if (!is_rules && platform.model.fault != PlatformFault::kSlow &&
      HasVms(platform, request)) {
    Reply(request, kNotModified, "application/json", "");
    return;
  }
  const auto answer = [&platform, is_rules](OpenCall& call) {
    if (is_rules) {
      AnswerRules(platform, call);
    } else {
      call.Answer(kOk, "application/json", platform.model.vms);
    }
  };
  if (platform.model.fault == PlatformFault::kSlow) {
    Hold(platform, request, kSlowRead, answer);
    return;
  }
  OpenCall call(request, nullptr);
  answer(call);
}

/// Answers the watches that a newer version or a fault ends.
void WakeWatches(Platform& platform) {
  const bool down = platform.model.fault == PlatformFault::kDown;
  const Publication* served = Served(platform.model);
  std::vector<std::uint64_t> woken;
  for (const auto& [number, waiting] : platform.waiting) {
    if (!waiting.is_watch) continue;
    const bool newer = served != nullptr && served->version > waiting.above;
    if (down || newer) woken.push_back(number);
  }
  for (const std::uint64_t number : woken) {
    Release(platform, number, [&platform, down](OpenCall& call) {
      down ? call.Break() : AnswerRules(platform, call);
    });
  }
}

void TakeControl(Platform& platform, evhttp_request* request) {
  const auto done = Control(platform.model, BodyOf(request));
  if (!done) {
    Reply(request, kBadRequest, "text/plain",
          kernel::Describe(done.error()) + "\n");
    return;
  }
  WakeWatches(platform);
  ReplyJson(request, kOk, "{}");
}

std::size_t WaitingWatches(const Platform& platform) {
  std::size_t count = 0;
  for (const auto& [number, waiting] : platform.waiting) {
    if (waiting.is_watch) ++count;
  }
  return count;
}

void OnRead(Platform& platform, evhttp_request* request,
            const std::string& path) {
  PlatformCounts& counts = platform.model.counts;
  const std::string above = QueryOf(request, "above");
  if (IsDown(platform.model, HeaderOf(request, "Host"))) {
    ++(path == "/vms" ? counts.vms : counts.rules);
    ++counts.failed;
    Reply(request, kUnavailable, "text/plain", "down\n");
  } else if (path == "/vms") {
    ++counts.vms;
    TakeRead(platform, request, false);
  } else if (!above.empty()) {
    TakeWatch(platform, request, above);
  } else {
    ++counts.rules;
    TakeRead(platform, request, true);
  }
}

void OnRequest(Platform& platform, evhttp_request* request) {
  const std::string path = PathOf(request);
  if (path == "/rules" || path == "/vms") {
    OnRead(platform, request, path);
  } else if (path == "/control") {
    TakeControl(platform, request);
  } else if (path == "/counts") {
    ReplyJson(request, kOk,
              PlatformCountsJson(platform.model, WaitingWatches(platform)));
  } else {
    Reply(request, HTTP_NOTFOUND, "text/plain", "no such path\n");
  }
}

/// Publishes the document given on the command line.
kernel::Result<void> PublishFile(Platform& platform, const std::string& file) {
  if (file.empty()) return boost::outcome_v2::success();
  BOOST_OUTCOME_TRY(text, kernel::ReadFile(file));
  BOOST_OUTCOME_TRYV(Publish(platform.model, text));
  platform.model.vms = VmsOf(text);
  return boost::outcome_v2::success();
}

int RunPlatform(const CommandArgs& args, const CommandStreams& streams) {
  std::vector<std::string> listen;
  std::string rules;
  CLI::App app("Publishes the rules and the VM list, and counts each call.",
               "egretladder stand-in platform");
  app.add_option("--listen", listen,
                 "loopback IP:port; several make `only` useful")
      ->required();
  app.add_option("--rules", rules, "document published at start");
  app.footer(
      "Example:\n  egretladder stand-in platform --listen 127.0.0.1:9001 "
      "--rules examples/00-minimal/rules.ini\n"
      "  curl 127.0.0.1:9001/control -d '{\"fault\":\"stale\"}'\n"
      "  curl 127.0.0.1:9001/control -d '{\"only\":\"127.0.0.1:9001\"}'\n"
      "  curl 127.0.0.1:9001/counts");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  kernel::Loop loop = kernel::CreateLoop();
  Platform platform{loop, {}, {}, 1};
  if (const auto published = PublishFile(platform, rules); !published) {
    streams.err << kernel::Describe(published.error()) << "\n";
    return kExitFailed;
  }
  return ServeUntilSignalled(
      loop, listen,
      [&platform](evhttp_request* request) { OnRequest(platform, request); },
      streams);
}

constexpr StandInPlugin kTable{"the platform: rules, watches, VM list",
                               RunPlatform};
const kernel::PluginRegistrar<StandInPlugin> kRegistrar("platform", kTable);

}  // namespace
}  // namespace egretladder::lab
