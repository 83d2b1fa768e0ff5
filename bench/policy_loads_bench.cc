// Plays every load of the policy tests under every scheduler and prints what
// callers got. Not a timing: figures are the same on every machine.
#include <cstdio>
#include <string>
#include <string_view>

#include "../policy/tests/load_loads.h"

namespace el = egretladder::policy::load;

namespace {

void PrintClass(const el::Workload& load, const el::Result& result,
                std::uint32_t cls) {
  const el::ClassResult& of = result.classes[cls];
  if (of.offered == 0) return;
  const double refused = of.refused;
  std::printf(
      "    %-8s in time %5.1f%%  late %4.1f%%  refused %4.1f%% (after "
      "%4.1f s, worst %5.1f s)  worst wait %5.1f s  unserved %5.1f s  "
      "Jain %.3f\n",
      load.classes[cls].name.c_str(), 100 * el::Attainment(result, cls),
      100.0 * of.late / of.offered, 100 * refused / of.offered,
      refused > 0 ? of.refusal_waits.count() / refused : 0,
      of.worst_refusal.count(), of.worst_wait.count(),
      of.longest_unserved.count(), el::JainIndex(result, cls));
}

void PrintResult(const el::Workload& load, const el::Result& result) {
  std::printf(
      "  %-7s goodput %5.0f tokens/s  wasted %4.2f%%  preempted %u  "
      "inversions %u  broken %u %s\n",
      result.scheduler.c_str(), el::Goodput(result, load),
      100 * el::WastedRatio(result), result.preempted, result.tier_inversions,
      result.violations, result.first_violation.c_str());
  for (std::uint32_t cls = 0; cls < result.classes.size(); ++cls) {
    PrintClass(load, result, cls);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view only = argc > 1 ? argv[1] : "";
  for (const el::Workload& load : el::AllWorkloads()) {
    if (!only.empty() && load.name != only) continue;
    std::printf("%s\n", load.name.c_str());
    for (const char* scheduler : {"ladder", "strict", "least", "fifo"}) {
      PrintResult(load, el::RunSimulation(scheduler, load));
    }
  }
  return 0;
}
