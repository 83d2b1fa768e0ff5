// Plays a plan open loop: each call starts at its time, whatever became of the
// ones before.
#include <array>
#include <csignal>
#include <cstdio>
#include <utility>

#include "load_run_p.h"

namespace egretladder::lab {
namespace {

/// Callers' processes for each account, each with its own answer of `/where`.
constexpr std::size_t kClientsPerAccount = 4;
constexpr std::chrono::milliseconds kPlanTick{1};
/// A call that is silent for so long has failed.
constexpr std::chrono::seconds kCallTimeout{120};

std::vector<std::string> ZonesOf(const rules::Rules& rules) {
  std::vector<std::string> zones;
  for (const rules::Zone& zone : rules.zones) {
    if (zone.source.present) zones.push_back(zone.source.name);
  }
  return zones;
}

void AddClients(LoadRun& run) {
  const std::vector<std::string> zones = ZonesOf(*run.options.rules);
  for (const Flow& flow : run.options.profile.flows) {
    for (const AccountWeight& account : flow.accounts) {
      auto& own = run.clients_of[account.account];
      while (own.size() < kClientsPerAccount) {
        const std::size_t index = run.clients.size();
        LoadClient client;
        client.account = account.account;
        client.zone = zones.empty() ? "" : zones[index % zones.size()];
        client.next_node = index;
        own.push_back(index);
        run.clients.push_back(std::move(client));
      }
    }
  }
}

void DeclareClasses(LoadRun& run) {
  const rules::Rules& rules = *run.options.rules;
  for (const Flow& flow : run.options.profile.flows) {
    const rules::Class& cls =
        rules.classes[rules::FindClass(rules, flow.cls).idx];
    run.result.account.classes[flow.cls].targets = {cls.tier, cls.first_token,
                                                    cls.between_tokens};
  }
}

bool IsRepeatable(const LoadRun& run, const Flow& flow) {
  const rules::Rules& rules = *run.options.rules;
  return rules.classes[rules::FindClass(rules, flow.cls).idx].repeatable;
}

void StartCall(LoadRun& run, const PlannedCall& plan) {
  const std::uint64_t number = run.next_call;
  const Flow& flow = run.options.profile.flows[plan.flow];
  const auto& clients = run.clients_of[flow.accounts[plan.account].account];
  LoadCall& call = run.calls[number];
  call.plan = plan;
  call.number = number;
  call.client = clients[run.next_client++ % clients.size()];
  call.repeatable = IsRepeatable(run, flow);
  call.mark = "r" + run.run_id + "-" + std::to_string(number) + ".";
  call.planned = run.started + plan.at;
  PlaceCall(run, number);
}

void StartDue(LoadRun& run) {
  const Time now = kernel::Now(run.loop.clock);
  while (run.next_call < run.plan.size() &&
         run.started + run.plan[run.next_call].at <= now) {
    const PlannedCall plan = run.plan[run.next_call];
    ++run.next_call;
    StartCall(run, plan);
  }
  const bool all_sent = run.next_call >= run.plan.size() &&
                        now >= run.started + run.options.profile.duration;
  if (all_sent && run.calls.empty()) kernel::StopLoop(run.loop);
}

std::string RunIdOf(std::uint64_t bits) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%08x",
                static_cast<unsigned>(bits & 0xffffffffU));
  return text.data();
}

}  // namespace

void Delay(LoadRun& run, std::chrono::milliseconds delay,
           std::function<void()> action) {
  const std::uint64_t number = run.next_delay++;
  run.delays[number] = kernel::RunAfter(
      run.loop, delay, [&run, number, action = std::move(action)] {
        run.delays.erase(number);
        action();
      });
}

LoadResult RunLoad(kernel::Loop& loop, const LoadOptions& options) {
  LoadRun run{loop,
              options,
              HttpClient(loop, options.profile.connections, kCallTimeout),
              PlanCalls(options.profile),
              0,
              kernel::Now(loop.clock),
              RunIdOf(kernel::SecureRandom64()),
              {},
              {},
              {},
              {},
              1,
              0,
              {}};
  AddClients(run);
  DeclareClasses(run);
  const kernel::EventWatcher tick =
      kernel::RunEvery(loop, kPlanTick, [&run] { StartDue(run); });
  const kernel::EventWatcher end =
      kernel::RunAfter(loop, options.profile.duration + options.drain,
                       [&loop] { kernel::StopLoop(loop); });
  const kernel::EventWatcher interrupt =
      kernel::RunOnSignal(loop, SIGINT, [&loop] { kernel::StopLoop(loop); });
  kernel::RunLoop(loop);
  while (!run.calls.empty()) {
    EndCall(run, run.calls.begin()->first, CallEnd::kUnfinished);
  }
  run.result.took = options.profile.duration;
  return std::move(run.result);
}

}  // namespace egretladder::lab
