// What the fleet's control costs a node, by the number of nodes and endpoints:
// messages and bytes a second by kind, processor time, memory. All nodes run in
// this process on one paused clock over a lossless wire of 1 ms.
//
// Bytes are those of the real codec, and what the RPC was measured to add.
// Processor time includes encoding, but neither decoding nor RPC nor sockets.
#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "egretladder/fleet/fleet.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log.h"
#include "peer_codec_p.h"

namespace ef = egretladder::fleet;
namespace eg = egretladder::gateway;
namespace ek = egretladder::kernel;
namespace ep = egretladder::policy;
namespace er = egretladder::rules;

namespace {

using namespace std::chrono_literals;

/// What the RPC adds to a message sent as a call, and to one that comes back
/// with the answer: `wire_B` less `message_B` of peer_rpc_bench.
constexpr std::size_t kCallOverhead = 232;
constexpr std::size_t kReplyOverhead = 16;
constexpr std::uint64_t kModels = 13;
constexpr std::uint64_t kModelsOfFew = 5;  ///< Below two endpoints each.
constexpr std::chrono::milliseconds kWarmUp{15'000};
constexpr std::chrono::milliseconds kMeasured{10'000};
constexpr std::chrono::milliseconds kSpreadMost{20'000};

// As encoded for the wire, without the call around it.
std::size_t SizeOf(const ef::Message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<egretladder::wire::Message>();
  eg::Write(message, root);
  return root.totalSize().wordCount * sizeof(capnp::word);
}

std::string HostOf(std::uint64_t i) {
  return "10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200);
}

std::string Document(std::uint64_t nodes, std::uint64_t endpoints) {
  std::string text = "[document]\nversion = 1 ; bench\n[zone]\n";
  for (int i = 0; i < 5; ++i) {
    text += "zone-" + std::to_string(i) +
            " = region=" + (i < 3 ? "addis" : "lima") + " ; bench\n";
  }
  const std::uint64_t models = endpoints < 2 * kModels ? kModelsOfFew : kModels;
  text += "[model]\n";
  for (std::uint64_t i = 0; i < models; ++i) {
    text += "model-" + std::to_string(i) + " = copies=2 ; bench\n";
  }
  text +=
      "[class]\nbuyer = tier=1 first_token=1800ms ; bench\n[account]\n"
      "abay = classes=buyer ; bench\n[endpoint]\n";
  for (std::uint64_t i = 0; i < endpoints; ++i) {
    text += "runner-" + std::to_string(i) + " = address=10.2." +
            std::to_string(i / 200) + "." + std::to_string(i % 200) +
            ":8000 zone=zone-" + std::to_string(i % 5) + " serves=model-" +
            std::to_string(i % models) + " bears=16 cold_bears=2 ; bench\n";
  }
  text += "[node]\n";
  for (std::uint64_t i = 0; i < nodes; ++i) {
    const std::string host = HostOf(i);
    text += "entry-" + std::to_string(i) + " = callers=" + host +
            ":80 peers=" + host + ":81 zone=zone-" + std::to_string(i % 5) +
            " ; bench\n";
  }
  return text;
}

double Seconds(std::clock_t ticks) {
  return static_cast<double>(ticks) / CLOCKS_PER_SEC;
}

struct Kind {
  std::uint64_t count = 0;
  std::uint64_t bytes = 0;
};

class Fleet {
 public:
  Fleet(std::uint64_t nodes, std::uint64_t endpoints)
      : text_(Document(nodes, endpoints)), nodes_(nodes) {
    for (std::uint64_t i = 0; i < nodes; ++i) {
      by_address_[HostOf(i) + ":81"] = i;
    }
    const std::size_t before = mallinfo2().uordblks;
    for (std::uint64_t i = 0; i < nodes; ++i) Start(i);
    if (nodes == 0) return;
    const std::size_t after = mallinfo2().uordblks;
    bytes_per_node = (after - before) / nodes_.size();
  }

  void Run(std::chrono::milliseconds span) {
    const ek::Time until = now_ + span;
    while (now_ < until) Step();
  }

  /// Publishes the next version to the first node alone; returns how long it
  /// takes until the last one has it in force, `most` at most.
  std::chrono::milliseconds Spread(std::chrono::milliseconds most) {
    const ek::Time begun = now_;
    text_.replace(text_.find("version = 1"), 11, "version = 2");
    ef::Actions out;
    ef::OnRulesDocument(*nodes_[0].fleet, &text_, now_, out);
    Apply(0, out);
    while (now_ - begun < most && !AllHave(2)) Step();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now_ - begun);
  }

  std::array<Kind, 5> kinds{};
  std::uint64_t exchanges = 0;  // Calls, with their replies.
  std::uint64_t platform_reads = 0;
  std::uint64_t reports = 0;
  std::uint64_t ticks = 0;
  std::uint64_t handled = 0;
  std::clock_t tick_time = 0;
  std::clock_t handle_time = 0;
  std::size_t bytes_per_node = 0;

 private:
  struct Node {
    ef::FleetPtr fleet;
    ef::Sender sender;
  };
  struct Letter {
    std::size_t to = 0;
    ef::Sender from;
    ef::Message message;
  };

  bool AllHave(std::uint64_t version) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
      return ef::RulesOf(*node.fleet)->version == version;
    });
  }

  void Start(std::uint64_t i) {
    const std::string host = HostOf(i);
    ef::FleetOptions options;
    options.node = "entry-" + std::to_string(i);
    options.caller_address = host + ":80";
    options.peer_address = host + ":81";
    options.zone = "zone-" + std::to_string(i % 5);
    options.incarnation = i + 1;
    options.started = 1;
    options.random_seed = i + 1;
    Node& node = nodes_[i];
    node.sender = {options.node, options.incarnation};
    ef::Actions out;
    node.fleet = ef::StartFleet(options, now_, out);
    ef::OnRulesDocument(*node.fleet, &text_, now_, out);
    Apply(i, out);
  }

  void Apply(std::size_t i, ef::Actions& actions) {
    ef::Actions taken;
    std::swap(taken, actions);
    for (ef::Action& action : taken) {
      if (auto* send = std::get_if<ef::SendMessage>(&action)) {
        Kind& kind = kinds[send->message.index()];
        ++kind.count;
        kind.bytes += SizeOf(send->message) +
                      (send->reply ? kReplyOverhead : kCallOverhead);
        if (!send->reply) ++exchanges;
        wire_.push_back({by_address_.at(send->peer_address), nodes_[i].sender,
                         std::move(send->message)});
      } else if (const auto* read = std::get_if<ef::ReadReport>(&action)) {
        ++reports;
        ep::EngineReport report;
        report.boot = 1;
        report.loaded = {{0}};
        ef::Actions more;
        ef::OnReport(*nodes_[i].fleet, read->endpoint, &report, now_, more);
        Apply(i, more);
      } else if (std::holds_alternative<ef::ReadVmList>(action)) {
        ++platform_reads;
        const std::vector<ef::VmEntry> vms;
        ef::Actions more;
        ef::OnVmList(*nodes_[i].fleet, &vms, now_, more);
        Apply(i, more);
      } else if (const auto* rules =
                     std::get_if<ef::ReadRulesDocument>(&action)) {
        ++platform_reads;
        if (rules->watch) continue;  // Waits, as nothing newer comes.
        ef::Actions more;
        const std::string nothing;
        ef::OnRulesDocument(*nodes_[i].fleet,
                            rules->known_version == 0 ? &text_ : &nothing, now_,
                            more);
        Apply(i, more);
      }
    }
  }

  void Step() {
    now_ += 1ms;
    std::deque<Letter> arrived;
    std::swap(arrived, wire_);
    const auto begun = std::clock();
    for (const Letter& letter : arrived) {
      ef::Actions out;
      ef::OnMessage(*nodes_[letter.to].fleet, letter.from, letter.message, now_,
                    out);
      Apply(letter.to, out);
    }
    handle_time += std::clock() - begun;
    handled += arrived.size();
    // Ticks of different nodes fall on different milliseconds.
    const auto slot = static_cast<std::uint64_t>(now_.time_since_epoch() / 1ms);
    const auto begun_ticks = std::clock();
    for (std::size_t i = slot % 50; i < nodes_.size(); i += 50) {
      ef::Actions out;
      ef::OnTick(*nodes_[i].fleet, now_, out);
      Apply(i, out);
      ++ticks;
    }
    tick_time += std::clock() - begun_ticks;
  }

  std::string text_;
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> by_address_;
  std::deque<Letter> wire_;
  ek::Time now_{1h};
};

void Control(benchmark::State& state) {
  ek::StartLogging(ek::LogFormat::kText, ek::LogLevel::kError);
  const auto nodes = static_cast<std::uint64_t>(state.range(0));
  const auto endpoints = static_cast<std::uint64_t>(state.range(1));
  for (auto _ : state) {
    Fleet fleet(nodes, endpoints);
    fleet.Run(kWarmUp);
    fleet.kinds = {};
    fleet.exchanges = 0;
    fleet.platform_reads = fleet.reports = fleet.ticks = fleet.handled = 0;
    fleet.tick_time = fleet.handle_time = 0;
    fleet.Run(kMeasured);
    const double node_seconds =
        static_cast<double>(nodes) *
        std::chrono::duration<double>(kMeasured).count();
    const std::array<const char*, 5> names = {"gossip", "ask", "offer",
                                              "slot_asks", "leases"};
    std::uint64_t bytes = 0;
    for (std::size_t i = 0; i < names.size(); ++i) {
      bytes += fleet.kinds[i].bytes;
      if (i == 1 || i == 2) continue;
      state.counters[std::string(names[i]) + "/s"] =
          static_cast<double>(fleet.kinds[i].count) / node_seconds;
      state.counters[std::string(names[i]) + "_B/s"] =
          static_cast<double>(fleet.kinds[i].bytes) / node_seconds;
    }
    state.counters["exchanges/s"] =
        static_cast<double>(fleet.exchanges) / node_seconds;
    state.counters["sent_B/s"] = static_cast<double>(bytes) / node_seconds;
    state.counters["reports/s"] =
        static_cast<double>(fleet.reports) / node_seconds;
    state.counters["platform/s_fleet"] =
        static_cast<double>(fleet.platform_reads) /
        std::chrono::duration<double>(kMeasured).count();
    state.counters["us/message"] =
        Seconds(fleet.handle_time) * 1e6 / static_cast<double>(fleet.handled);
    state.counters["us/tick"] =
        Seconds(fleet.tick_time) * 1e6 / static_cast<double>(fleet.ticks);
    state.counters["cpu_permille"] =
        Seconds(fleet.tick_time + fleet.handle_time) / node_seconds * 1000;
    state.counters["KB/node"] =
        static_cast<double>(fleet.bytes_per_node) / 1000;
  }
}
// The service answers one reader only; everyone else hears from peers.
void SpreadOfAVersion(benchmark::State& state) {
  ek::StartLogging(ek::LogFormat::kText, ek::LogLevel::kError);
  for (auto _ : state) {
    Fleet fleet(static_cast<std::uint64_t>(state.range(0)),
                static_cast<std::uint64_t>(state.range(1)));
    fleet.Run(kWarmUp);
    fleet.kinds = {};
    const auto took = fleet.Spread(kSpreadMost);
    state.counters["in_force_ms"] = static_cast<double>(took.count());
    state.counters["offers/node"] = static_cast<double>(fleet.kinds[2].count) /
                                    static_cast<double>(state.range(0));
  }
}
BENCHMARK(SpreadOfAVersion)
    ->ArgNames({"nodes", "endpoints"})
    ->Args({7, 15})
    ->Args({32, 60})
    ->Args({128, 260})
    ->Args({390, 790})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

BENCHMARK(Control)
    ->ArgNames({"nodes", "endpoints"})
    ->Args({4, 15})
    ->Args({7, 15})
    ->Args({8, 15})
    ->Args({16, 30})
    ->Args({32, 60})
    ->Args({64, 130})
    ->Args({128, 260})
    ->Args({390, 790})
    ->Args({7, 10})
    ->Args({7, 100})
    ->Args({7, 790})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
