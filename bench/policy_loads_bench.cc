// Plays every load of the policy tests under every scheduler and prints what
// callers got. Not a timing: figures are the same on every machine.
#include <cstdio>
#include <string>
#include <vector>

#include "../policy/tests/load_loads.h"

namespace el = egretladder::policy::load;

namespace {

void PrintResult(const el::Load& load, const el::Result& result) {
  std::printf("%-18s %-7s", load.name.c_str(), result.scheduler.c_str());
  for (std::uint32_t cls = 0; cls < result.classes.size(); ++cls) {
    const el::ClassResult& of = result.classes[cls];
    std::printf(" | %s %5.1f%% ref %4.1f%% wait %5.1fs/%5.1fs gap %5.1fs",
                load.classes[cls].name.c_str(),
                100 * el::Attainment(result, cls),
                of.offered == 0 ? 0.0 : 100.0 * of.refused / of.offered,
                of.worst_wait.count(), of.worst_refusal.count(),
                of.longest_unserved.count());
  }
  std::printf(
      " | goodput %6.0f tok/s waste %4.2f%% jain %.3f pre %u slow %u "
      "inv %u broken %u %s\n",
      el::Goodput(result, load), 100 * el::Wasted(result), el::Jain(result),
      result.preempted, result.to_slow, result.tier_inversions, result.broken,
      result.first_broken.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  const std::string only = argc > 1 ? argv[1] : "";
  for (const el::Load& load : el::AllLoads()) {
    if (!only.empty() && load.name != only) continue;
    for (const char* scheduler : {"ladder", "strict", "least", "fifo"}) {
      PrintResult(load, el::Play(scheduler, load));
    }
  }
  return 0;
}
