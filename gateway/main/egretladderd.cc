// The node: `egretladderd --config node.ini`.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/registry.h"
#include "front.h"

namespace {

namespace ek = egretladder::kernel;

std::string DescribeFronts() {
  std::string text;
  for (const auto name : ek::PluginNames(Front::kKind)) {
    text += "Settings of --front " + std::string(name) +
            " and their standard values:\n" +
            ek::FindPlugin<Front>(name)->describe() + "\n";
  }
  return text;
}

// Large pieces go back to the system when they are freed. By default the
// allocator keeps ever larger ones once some were freed.
void KeepFreedMemoryLow() {
  constexpr int kMmapThreshold = 128 << 10;
  constexpr int kTrimThreshold = 1 << 20;
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

}  // namespace

int main(int argc, char** argv) {
  // The signal for changed settings may arrive while the node starts. Its
  // default action would end the process. The front reads the file later.
  std::signal(SIGHUP, SIG_IGN);
  KeepFreedMemoryLow();
  CLI::App app("A node of egretladder, the router for language-model traffic.");
  std::string path;
  std::string front = "calls";
  app.add_option("--config", path, "The node's settings (INI)")->required();
  app.add_option("--front", front,
                 "calls: by account, class and model; hosts: by host and path")
      ->capture_default_str();
  app.footer(DescribeFronts() +
             "Example: egretladderd --config examples/00-minimal/node-1.ini");
  CLI11_PARSE(app, argc, argv);

  const auto* served = ek::FindPlugin<Front>(front);
  if (served == nullptr) {
    std::cerr << "--front " << front << ": expected calls or hosts\n";
    return kBadSettings;
  }
  const auto text = ek::ReadFile(path);
  if (!text) {
    std::cerr << ek::Describe(text.error()) << '\n';
    return kBadSettings;
  }
  return served->run(text.value(), path);
}
