#include "egretladder/kernel/registry.h"

#include <algorithm>

namespace egretladder::kernel {
namespace {

// Constructed on first use, because static registrars run before main in an
// unspecified order.
std::vector<PluginEntry>& Entries() {
  static std::vector<PluginEntry> entries;
  return entries;
}

}  // namespace

void RegisterPlugin(const PluginEntry& entry) { Entries().push_back(entry); }

const void* FindPluginTable(std::string_view kind, std::string_view name) {
  for (const PluginEntry& entry : Entries()) {
    if (entry.kind == kind && entry.name == name) return entry.table;
  }
  return nullptr;
}

std::vector<std::string_view> PluginNames(std::string_view kind) {
  std::vector<std::string_view> names;
  for (const PluginEntry& entry : Entries()) {
    if (entry.kind == kind) names.push_back(entry.name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace egretladder::kernel
