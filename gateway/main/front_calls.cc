// Serves calls by account, class and model. Published rules list all nodes and
// endpoints.
#include <sys/resource.h>

#include <algorithm>
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
#include "egretladder/policy/stopping.h"
#include "front.h"

namespace {

namespace eg = egretladder::gateway;
namespace ek = egretladder::kernel;
namespace ep = egretladder::policy;

constexpr std::chrono::milliseconds kIdleCheck{20};

void Say(ek::LogLevel level, const std::string& sentence) {
  ek::Log(ek::LogPart::kKernel, level, sentence);
}

// The graceful stop: new callers are directed to other nodes at once, answers
// in progress are completed, and callers that still have this node's address
// are served. A second signal or the end of the grace period ends the remaining
// calls.
class Stop {
 public:
  Stop(ek::Loop& loop, eg::Gateway& gateway, const eg::NodeConfig& config)
      : loop_(loop), gateway_(gateway) {
    plan_.address_ttl = config.gateway.linger;
    plan_.grace = config.stop_time;
    plan_.cut_margin = eg::kStopMargin;
    for (std::size_t i = 0; i < signals_.size(); ++i) {
      signals_[i] = ek::RunOnSignal(loop, i == 0 ? SIGTERM : SIGINT,
                                    [this] { OnStopSignal(); });
    }
  }

  /// True if calls in progress were ended.
  bool IsCut() const { return cut_; }

 private:
  std::chrono::milliseconds Since() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        ek::Now(loop_.clock) - began_);
  }

  void OnStopSignal() {
    if (leaving_) {
      plan_.grace = std::min(plan_.grace, Since() + plan_.cut_margin);
      Cut("a second signal came");
      return;
    }
    leaving_ = true;
    began_ = ek::Now(loop_.clock);
    Say(ek::LogLevel::kInfo,
        "Leaving: calls in progress end first. Staying for " +
            std::to_string(plan_.address_ttl.count()) +
            " ms at least, for callers that still keep "
            "this address.");
    eg::Leave(gateway_);
    look_ = ek::RunEvery(loop_, kIdleCheck, [this] { Look(); });
  }

  void Look() {
    const ep::StopPhase phase = ep::GetStopPhase(plan_, Since());
    if (phase >= ep::StopPhase::kCutting) Cut("the time was up");
    const bool answered =
        cut_ ? eg::IsAnswered(gateway_) : eg::CanShutDown(gateway_);
    if (!ep::CanExit(phase, answered)) return;
    if (!cut_) Say(ek::LogLevel::kInfo, "Left: no call was cut.");
    ek::StopLoop(loop_);
  }

  void Cut(const std::string& why) {
    if (cut_) return;
    cut_ = true;
    Say(ek::LogLevel::kWarning, "Stopped, since " + why + ": " +
                                    std::to_string(eg::ViewOf(gateway_).calls) +
                                    " calls were cut.");
    eg::EndCalls(gateway_);
  }

  ek::Loop& loop_;
  eg::Gateway& gateway_;
  ep::StopPlan plan_;
  ek::Time began_{};
  bool leaving_ = false;
  bool cut_ = false;
  std::array<ek::EventWatcher, 2> signals_;
  ek::EventWatcher look_;
};

// Each call needs two descriptors, and many systems limit processes to 1,024.
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
  ek::StartLogging(config.log_format, config.log_level);
  RaiseDescriptorLimit(config.gateway.limits);
  ek::Loop loop = ek::CreateLoop();
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
