// Serves calls by account, class and model, under published rules that name
// all nodes and endpoints.
#include <sys/resource.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "egretladder/gateway/gateway.h"
#include "egretladder/gateway/settings.h"
#include "egretladder/kernel/log.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/kernel/registry.h"
#include "front.h"

namespace {

namespace eg = egretladder::gateway;
namespace ek = egretladder::kernel;

constexpr std::chrono::milliseconds kIdleCheck{20};

void Say(ek::LogLevel level, const std::string& sentence) {
  ek::Log(ek::LogPart::kKernel, level, sentence);
}

// Ends the process in order: callers are sent elsewhere at once, answers in
// progress go to their ends, callers that still keep this node's address get
// answers as long as they do. A second signal or too long a wait cuts it short.
class Stop {
 public:
  Stop(ek::Loop& loop, eg::Gateway& gateway, const eg::NodeConfig& config)
      : loop_(loop),
        gateway_(gateway),
        linger_(config.gateway.linger),
        most_(config.stop_time) {
    for (std::size_t i = 0; i < signals_.size(); ++i) {
      signals_[i] = ek::OnSignal(loop, i == 0 ? SIGTERM : SIGINT,
                                 [this] { OnStopSignal(); });
    }
  }

  /// True when calls in progress were not waited for.
  bool IsCut() const { return cut_; }

 private:
  void OnStopSignal() {
    if (leaving_) {
      Cut("a second signal came");
      return;
    }
    leaving_ = true;
    Say(ek::LogLevel::kInfo,
        "Leaving: calls in progress end first. Staying for " +
            std::to_string(linger_.count()) +
            " ms at least, for callers that still keep "
            "this address.");
    eg::Leave(gateway_);
    timeout_ = ek::After(loop_, most_, [this] { Cut("the time was up"); });
    idle_ = ek::Every(loop_, kIdleCheck, [this] { EndWhenDone(); });
  }

  void EndWhenDone() {
    if (!eg::MayEnd(gateway_)) return;
    Say(ek::LogLevel::kInfo, "Left: no call was cut.");
    ek::StopLoop(loop_);
  }

  void Cut(const std::string& why) {
    Say(ek::LogLevel::kWarning, "Stopped, since " + why + ": " +
                                    std::to_string(eg::ViewOf(gateway_).calls) +
                                    " calls were cut.");
    cut_ = true;
    ek::StopLoop(loop_);
  }

  ek::Loop& loop_;
  eg::Gateway& gateway_;
  std::chrono::milliseconds linger_;
  std::chrono::milliseconds most_;
  bool leaving_ = false;
  bool cut_ = false;
  std::array<ek::Watch, 2> signals_;
  ek::Watch timeout_;
  ek::Watch idle_;
};

// Each call takes two descriptors, and many systems start processes with 1,024.
void RaiseDescriptorLimit(const eg::Limits& limits) {
  rlimit allowed{};
  getrlimit(RLIMIT_NOFILE, &allowed);
  allowed.rlim_cur = allowed.rlim_max;
  setrlimit(RLIMIT_NOFILE, &allowed);
  const rlim_t wanted = 2 * limits.connections + eg::kPeersIn + eg::kPeersOut;
  if (allowed.rlim_cur >= wanted) return;
  Say(ek::LogLevel::kWarning, "Only " + std::to_string(allowed.rlim_cur) +
                                  " descriptors, " + std::to_string(wanted) +
                                  " may be needed.");
}

int Run(const eg::NodeConfig& config) {
  ek::StartLogs(config.log_format, config.log_level);
  RaiseDescriptorLimit(config.gateway.limits);
  ek::Loop loop = ek::OpenLoop();
  auto gateway = eg::StartGateway(loop, config.gateway);
  if (!gateway) {
    Say(ek::LogLevel::kError, ek::Describe(gateway.error()));
    return EXIT_FAILURE;
  }
  eg::Gateway& started = *gateway.value();
  Say(ek::LogLevel::kInfo, "Node " + config.gateway.node.fleet.node +
                               " serves callers at " +
                               eg::CallerAddressOf(started) + " and peers at " +
                               eg::PeerAddressOf(started) + ".");
  const Stop stop(loop, started, config);
  ek::RunLoop(loop);
  return stop.IsCut() ? EXIT_FAILURE : EXIT_SUCCESS;
}

int CheckAndRun(const std::string& text, const std::string& path) {
  std::vector<ek::Error> faults;
  const auto config = eg::ReadNodeConfig(text, path, &faults);
  if (!config) {
    for (const ek::Error& fault : faults) {
      std::cerr << ek::Describe(fault) << '\n';
    }
    return kBadSettings;
  }
  return Run(config.value());
}

constexpr Front kFront = {CheckAndRun, eg::DescribeSettings};
const ek::PluginRegistrar<Front> kRegistrar("calls", kFront);

}  // namespace
