// Serves requests by host and path at endpoints that it discovers.
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/log_event.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/kernel/registry.h"
#include "egretladder/proxy/proxy.h"
#include "egretladder/proxy/settings.h"
#include "front.h"

namespace {

namespace ek = egretladder::kernel;
namespace ep = egretladder::proxy;

constexpr std::chrono::milliseconds kEndCheck{50};
/// Interval between two checks of the settings file, which may change without a
/// signal.
constexpr std::chrono::milliseconds kSettingsCheck{2000};

void Say(ek::LogLevel level, const char* event, ek::LogFields fields) {
  ek::LogEvent(ek::LogPart::kKernel, level, event, fields);
}

void RaiseDescriptorLimit() {
  rlimit allowed{};
  if (getrlimit(RLIMIT_NOFILE, &allowed) != 0) return;
  allowed.rlim_cur = allowed.rlim_max;
  setrlimit(RLIMIT_NOFILE, &allowed);
}

// Stops gracefully, and applies changed settings while it runs.
class Service {
 public:
  Service(ek::Loop& loop, ep::Proxy& proxy, std::string text, std::string path)
      : loop_(loop),
        proxy_(proxy),
        text_(std::move(text)),
        path_(std::move(path)) {
    stop_ = ek::RunOnSignal(loop, SIGTERM, [this] { Stop(); });
    interrupt_ = ek::RunOnSignal(loop, SIGINT, [this] { Stop(); });
    reload_ = ek::RunOnSignal(loop, SIGHUP, [this] { Reload("signal"); });
    look_ = ek::RunEvery(loop, kSettingsCheck, [this] { Reload("file"); });
  }

 private:
  void Stop() {
    if (leaving_) return;
    leaving_ = true;
    Say(ek::LogLevel::kInfo, "leaving", {{"calls", ep::ViewOf(proxy_).calls}});
    ep::Leave(proxy_);
    end_ = ek::RunEvery(loop_, kEndCheck, [this] {
      if (!ep::CanShutDown(proxy_)) return;
      Say(ek::LogLevel::kInfo, "left",
          {{"calls_cut", ep::ViewOf(proxy_).cut},
           {"answers_untaken", ep::ViewOf(proxy_).undelivered}});
      ek::StopLoop(loop_);
    });
  }

  // Only the seeds may change in a running process. Its addresses change with
  // the next start.
  void Reload(const char* why) {
    auto text = ek::ReadFile(path_);
    if (!text) {
      Say(ek::LogLevel::kWarning, "settings-not-read",
          {{"why", ek::Describe(text.error())}});
      return;
    }
    if (text.value() == text_) return;
    text_ = text.value();
    const auto config = ep::ReadProxyConfig(text_, path_);
    if (!config) {
      Say(ek::LogLevel::kWarning, "settings-refused",
          {{"why", ek::Describe(config.error())}});
      return;
    }
    ep::SetSeeds(proxy_, config.value().proxy.seeds);
    loop_.clock.unix_offset = config.value().clock_offset;
    Say(ek::LogLevel::kInfo, "settings-reloaded", {{"why", why}});
  }

  ek::Loop& loop_;
  ep::Proxy& proxy_;
  std::string text_;
  std::string path_;
  bool leaving_ = false;
  ek::EventWatcher stop_;
  ek::EventWatcher interrupt_;
  ek::EventWatcher reload_;
  ek::EventWatcher look_;
  ek::EventWatcher end_;
};

int Run(const ep::ProxyConfig& config, const std::string& text,
        const std::string& path) {
  std::signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit();
  ek::Loop loop = ek::CreateLoop();
  loop.clock = ek::SuspendAwareClock();
  loop.clock.unix_offset = config.clock_offset;
  ek::StartEventLog(STDOUT_FILENO, config.log_level, loop.clock);
  auto proxy = ep::StartProxy(loop, config.proxy);
  if (!proxy) {
    Say(ek::LogLevel::kError, "not-started",
        {{"why", ek::Describe(proxy.error())}});
    return EXIT_FAILURE;
  }
  Say(ek::LogLevel::kInfo, "started",
      {{"node", config.proxy.node},
       {"zone", config.proxy.zone},
       {"callers", config.proxy.callers},
       {"store", config.proxy.store},
       {"seeds", config.proxy.seeds.size()}});
  const Service service(loop, *proxy.value(), text, path);
  ek::RunLoop(loop);
  return EXIT_SUCCESS;
}

int CheckAndRun(const std::string& text, const std::string& path) {
  std::vector<ek::Error> faults;
  const auto config = ep::ReadProxyConfig(text, path, &faults);
  if (!config) {
    for (const ek::Error& fault : faults) {
      std::cerr << ek::Describe(fault) << '\n';
    }
    return kBadSettings;
  }
  return Run(config.value(), text, path);
}

constexpr Front kFront = {CheckAndRun, ep::DescribeSettings};
const ek::PluginRegistrar<Front> kRegistrar("hosts", kFront);

}  // namespace
