// What it costs a node to take a version of the rules: reading and checking the
// whole document, at today's size and at the size of the two-year plan.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "egretladder/rules/rules.h"

namespace er = egretladder::rules;

namespace {

std::string Name(const char* kind, std::int64_t i) {
  return std::string(kind) + "-" + std::to_string(i);
}

std::string Host(int net, std::int64_t i) {
  return "10." + std::to_string(net) + "." + std::to_string(i / 200) + "." +
         std::to_string(i % 200);
}

std::string Document(std::int64_t nodes, std::int64_t endpoints,
                     std::int64_t accounts, std::int64_t models) {
  std::string text = "[document]\nversion = 1 ; bench\n[zone]\n";
  for (int i = 0; i < 5; ++i) {
    text += Name("zone", i) + " = region=" + (i < 3 ? "addis" : "lima") +
            " out=no ; network\n";
  }
  text += "[model]\n";
  for (std::int64_t i = 0; i < models; ++i) {
    text += Name("model", i) + " = copies=2 ; model runners\n";
  }
  text += "[class]\n";
  for (int i = 1; i <= 5; ++i) {
    text += Name("class", i) + " = tier=" + std::to_string(i) +
            " first_token=1800ms between_tokens=43ms max_wait=8s ; support\n";
  }
  text += "[account]\n";
  for (std::int64_t i = 0; i < accounts; ++i) {
    text += Name("account", i) +
            " = classes=class-1,class-2,class-3,class-4,class-5 waiting=300 "
            "share=4 ; account manager of the region\n";
  }
  text += "[endpoint]\n";
  for (std::int64_t i = 0; i < endpoints; ++i) {
    text += Name("runner", i) + " = address=" + Host(2, i) +
            ":8000 zone=" + Name("zone", i % 5) +
            " serves=" + Name("model", i % models) +
            " bears=64 cold_bears=8 holds=2 fencing=honoured ; model runners\n";
  }
  text += "[node]\n";
  for (std::int64_t i = 0; i < nodes; ++i) {
    text += Name("entry", i) + " = callers=" + Host(1, i) +
            ":80 peers=" + Host(1, i) + ":81 zone=" + Name("zone", i % 5) +
            " ; network\n";
  }
  return text;
}

void ReadDocument(benchmark::State& state) {
  const std::string text =
      Document(state.range(0), state.range(1), state.range(2), state.range(3));
  const auto first = er::ReadRules(text, "bench.ini", nullptr);
  if (!first) return state.SkipWithError("the document was refused");
  for (auto _ : state) {
    auto read = er::ReadRules(text, "bench.ini", first.value().get());
    benchmark::DoNotOptimize(read);
  }
  state.counters["document_B"] = static_cast<double>(text.size());
}
BENCHMARK(ReadDocument)
    ->ArgNames({"nodes", "endpoints", "accounts", "models"})
    ->Args({7, 15, 10, 3})
    ->Args({32, 60, 40, 5})
    ->Args({128, 260, 120, 13})
    ->Args({390, 790, 240, 13})
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
