// Sweeps the thresholds of the ladder and switches each idea off once, under
// the loads that the threshold answers. Prints rows for
// docs/design/policy-thresholds.md; figures are the same on every machine.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "../policy/tests/load_loads.h"

namespace el = egretladder::policy::load;
using egretladder::policy::Limits;
using std::chrono::milliseconds;

namespace {

struct Setting {
  std::string name;
  std::function<void(Limits&)> set;
};

struct Sweep {
  std::string_view threshold;
  std::vector<el::Workload> loads;
  std::vector<Setting> settings;
};

// Sums over seeds; printed as means.
struct Sums {
  std::vector<double> in_time;
  double goodput = 0;
  double refusals = 0;
  double refusal_waits = 0;
  double unserved = 0;
  double jain = 0;
  double first_token = 0;
  double first_token_95 = 0;
  double wasted = 0;
  std::uint32_t violations = 0;
};

void AddRun(Sums& sums, const el::Workload& load, const el::Result& result) {
  double unserved = 0;
  double jain = 1;
  sums.in_time.resize(load.classes.size());
  for (std::uint32_t cls = 0; cls < load.classes.size(); ++cls) {
    const el::ClassResult& of = result.classes[cls];
    sums.in_time[cls] += 100 * el::Attainment(result, cls);
    sums.refusals += of.refused;
    sums.refusal_waits += of.refusal_waits.count();
    unserved = std::max(unserved, of.longest_unserved.count());
    if (of.offered > 0) jain = std::min(jain, el::JainIndex(result, cls));
  }
  sums.goodput += el::Goodput(result, load);
  sums.unserved += unserved;
  sums.jain += jain;
  sums.first_token += el::MeanTimeToFirstToken(result, 0);
  sums.first_token_95 += el::TimeToFirstTokenP95(result, 0);
  sums.wasted += 100 * el::WastedRatio(result);
  sums.violations += result.violations + result.tier_inversions;
}

void PrintRow(const Setting& setting, el::Workload load) {
  Limits limits;
  setting.set(limits);
  const std::uint32_t seeds = load.length > el::DoubleSeconds(600) ? 2 : 5;
  const std::uint64_t first_seed = load.seed;
  Sums sums;
  for (std::uint32_t seed = 0; seed < seeds; ++seed) {
    load.seed = first_seed + 100 * seed;
    AddRun(sums, load, el::RunSimulation("ladder", load, limits));
  }
  std::printf("| %s | %s | ", load.name.c_str(), setting.name.c_str());
  const char* between = "";
  for (const double in_time : sums.in_time) {
    std::printf("%s%.1f", between, in_time / seeds);
    between = " / ";
  }
  std::printf(" | %.0f | %.1f s | %.0f s | %.3f | %.2f s, %.2f s | %.2f%% |",
              sums.goodput / seeds,
              sums.refusals > 0 ? sums.refusal_waits / sums.refusals : 0.0,
              sums.unserved / seeds, sums.jain / seeds,
              sums.first_token / seeds, sums.first_token_95 / seeds,
              sums.wasted / seeds);
  std::printf(" %u |\n", sums.violations);
}

Setting Standard() {
  return {"standard", [](Limits&) {}};
}

void AddOverloadSweeps(std::vector<Sweep>& sweeps) {
  Sweep reserve{
      "reserve_factor",
      {el::BrokerBurst(), el::BatchOnFewSlots(), el::LongTailedAnswers(),
       el::ZoneOutAndBack(), el::AtCapacity(2)},
      {}};
  for (const double factor : {0.0, 0.25, 0.5, 1.0, 1.5}) {
    reserve.settings.push_back(
        {std::to_string(factor).substr(0, 4),
         [factor](Limits& limits) { limits.reserve_factor = factor; }});
  }
  sweeps.push_back(reserve);
  Sweep trickle{"trickle_share", {el::SaturatedHour()}, {}};
  for (const double share : {0.0, 0.005, 0.01, 0.02, 0.05}) {
    trickle.settings.push_back(
        {std::to_string(share).substr(0, 5),
         [share](Limits& limits) { limits.aging_share = share; }});
  }
  sweeps.push_back(trickle);
  sweeps.push_back({"refuse_early",
                    {el::BrokerBurst(), el::NightBurst(), el::AtCapacity(2),
                     el::SaturatedHour()},
                    {Standard(),
                     {"off", [](Limits& l) { l.refuse_early = false; }},
                     {"ends_half_trusted 4",
                      [](Limits& l) { l.half_confidence_completions = 4; }},
                     {"ends_half_trusted 64",
                      [](Limits& l) { l.half_confidence_completions = 64; }},
                     {"ends_remembered 32",
                      [](Limits& l) { l.estimate_window_completions = 32; }},
                     {"ends_remembered 1024", [](Limits& l) {
                        l.estimate_window_completions = 1024;
                      }}}});
  sweeps.push_back(
      {"charge_expected",
       {el::TwoAccountsDominate(), el::LongTailedAnswers()},
       {Standard(), {"off", [](Limits& l) { l.charge_expected = false; }}}});
}

void AddChoiceSweeps(std::vector<Sweep>& sweeps) {
  sweeps.push_back({"affinity_load",
                    {el::TwoAccountsDominate(), el::SharedPrefixes()},
                    {Standard(),
                     {"off", [](Limits& l) { l.affinity_load = 0; }},
                     {"1.00", [](Limits& l) { l.affinity_load = 1; }},
                     {"1.50", [](Limits& l) { l.affinity_load = 1.5; }},
                     {"unbounded", [](Limits& l) { l.affinity_load = 100; }},
                     {"homes 1", [](Limits& l) { l.affinity_replicas = 1; }},
                     {"homes 4", [](Limits& l) { l.affinity_replicas = 4; }}}});
  sweeps.push_back({"choices",
                    {el::OneSlowEndpoint(), el::UnevenLoadOfOtherNodes()},
                    {Standard(),
                     {"1 (off)", [](Limits& l) { l.choices = 1; }},
                     {"2", [](Limits& l) { l.choices = 2; }},
                     {"3", [](Limits& l) { l.choices = 3; }},
                     {"12", [](Limits& l) { l.choices = 12; }}}});
  sweeps.push_back(
      {"report_half_life",
       {el::UnevenLoadOfOtherNodes()},
       {Standard(),
        {"1 ms (off)", [](Limits& l) { l.report_half_life = milliseconds(1); }},
        {"300 ms", [](Limits& l) { l.report_half_life = milliseconds(300); }},
        {"5 s", [](Limits& l) { l.report_half_life = milliseconds(5000); }}}});
}

void AddHealthSweeps(std::vector<Sweep>& sweeps) {
  sweeps.push_back({"slow_ratio",
                    {el::OneSlowEndpoint(), el::LongTailedAnswers()},
                    {Standard(),
                     {"off", [](Limits& l) { l.slow_ratio = 0; }},
                     {"1.5", [](Limits& l) { l.slow_ratio = 1.5; }},
                     {"4", [](Limits& l) { l.slow_ratio = 4; }},
                     {"answers 3", [](Limits& l) { l.min_slow_samples = 3; }},
                     {"answers 12", [](Limits& l) { l.min_slow_samples = 12; }},
                     {"probe 4 s", [](Limits& l) {
                        l.probe_interval = milliseconds(4000);
                      }}}});
  sweeps.push_back(
      {"shift_start",
       {el::ZoneOutAndBack(), el::ZoneBackUnwell()},
       {Standard(),
        {"1 (off)", [](Limits& l) { l.zone_ramp_initial_ratio = 1; }},
        {"0.05", [](Limits& l) { l.zone_ramp_initial_ratio = 0.05; }},
        {"doubling 1 s",
         [](Limits& l) { l.zone_ramp_doubling_time = milliseconds(1000); }},
        {"doubling 8 s",
         [](Limits& l) { l.zone_ramp_doubling_time = milliseconds(8000); }}}});
}

std::vector<Sweep> AllSweeps() {
  std::vector<Sweep> sweeps;
  AddOverloadSweeps(sweeps);
  AddChoiceSweeps(sweeps);
  AddHealthSweeps(sweeps);
  return sweeps;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view only = argc > 1 ? argv[1] : "";
  for (const Sweep& sweep : AllSweeps()) {
    if (!only.empty() && sweep.threshold != only) continue;
    std::printf("\n%.*s\n", static_cast<int>(sweep.threshold.size()),
                sweep.threshold.data());
    for (const el::Workload& load : sweep.loads) {
      for (const Setting& setting : sweep.settings) PrintRow(setting, load);
    }
  }
  return 0;
}
