#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "caller_body_p.h"
#include "documents_p.h"
#include "egretladder/gateway/settings.h"
#include "sse_scanner_p.h"

using namespace std::chrono_literals;
namespace eg = egretladder::gateway;
namespace ek = egretladder::kernel;

TEST_GROUP(ChatBody){};

TEST(ChatBody, ReadsWhatRoutingNeeds) {
  const auto body = eg::ReadChatBody(
      R"({"model":"m","stream":true,"max_tokens":9,"messages":[)"
      R"({"role":"user","content":"12345678"}]})");
  CHECK_TRUE(body.has_value());
  STRCMP_EQUAL("m", body.value().model.c_str());
  CHECK_TRUE(body.value().stream);
  CHECK_EQUAL(9U, body.value().max_tokens);
  CHECK_EQUAL(3U, body.value().prompt_tokens);
}

TEST(ChatBody, SamePrefixForSameBeginning) {
  const auto prefix = [](const std::string& first, const std::string& last) {
    return eg::ReadChatBody(R"({"model":"m","messages":[{"role":"system",)"
                            R"("content":")" +
                            first + R"("},{"role":"user","content":")" + last +
                            R"("}]})")
        .value()
        .prefix;
  };
  const std::string system(2000, 's');
  CHECK(prefix(system, "a") == prefix(system, "b"));
  CHECK(prefix("x", "a") != prefix("y", "a"));
}

// A client sends a body that can't be read. Without a sentence on what is wrong
// its developer has to guess.
TEST(ChatBody, NamesTheFault) {
  const std::vector<std::pair<const char*, const char*>> faults = {
      {"", "not JSON"},
      {"[1]", "not a JSON object"},
      {R"({"model":"m","messages":[{"role":"us)", "not JSON"},
      {R"({"messages":[]})", "'model'"},
      {R"({"model":"m"})", "'messages'"},
      {R"({"model":"m","messages":[]})", "at least one"},
      {R"({"model":"m","messages":[3]})", "not an object"},
      {R"({"model":"m","messages":[{}]})", "'role'"},
      {R"({"model":"m","stream":"yes","messages":[]})", "'stream'"},
      {R"({"model":"m","max_tokens":-1,"messages":[]})", "'max_tokens'"}};
  for (const auto& [text, sentence] : faults) {
    const auto body = eg::ReadChatBody(text);
    CHECK_FALSE(body.has_value());
    STRCMP_CONTAINS(sentence, body.error().detail.c_str());
  }
}

// A caller sends a megabyte of opening brackets. A parser that calls itself for
// each would use up the stack and take the node down.
TEST(ChatBody, DeepNestingDoesNotUseUpTheStack) {
  const std::string deep(1'000'000, '[');
  CHECK_FALSE(eg::ReadChatBody(deep).has_value());
  CHECK_FALSE(eg::ReadChatAnswer(deep).valid);
}

TEST(ChatBody, ReadsTokensOfAnAnswer) {
  const auto answer = eg::ReadChatAnswer(
      R"({"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":7}})");
  CHECK_TRUE(answer.valid);
  CHECK_EQUAL(7U, answer.tokens);
  CHECK_FALSE(eg::ReadChatAnswer("<html>").valid);
  CHECK_FALSE(eg::ReadChatAnswer(R"({"choices":[)").valid);
}

TEST_GROUP(SseScanner){};

TEST(SseScanner, CountsTheSameHoweverTheBytesAreSplit) {
  const std::string stream =
      ": hello\r\n\r\ndata: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    eg::SseScanner scanner;
    std::uint64_t events = 0;
    const std::string_view whole = stream;
    for (std::size_t at = 0; at < whole.size(); at += step) {
      events += eg::Scan(scanner, whole.substr(at, step));
    }
    CHECK_EQUAL(2U, events);
    CHECK_TRUE(scanner.done);
    CHECK_FALSE(scanner.garbage);
  }
}

// An engine sends an error page, or breaks off within its last line. Taken for
// a stream in order, either would be called a complete answer.
TEST(SseScanner, TellsGarbageAndAMissingEnd) {
  eg::SseScanner html;
  eg::Scan(html, std::string_view("<html>\n"));
  CHECK_TRUE(html.garbage);
  eg::SseScanner half;
  eg::Scan(half, std::string_view("data: {}\n\ndata: [DO"));
  CHECK_FALSE(half.done);
}

TEST_GROUP(Documents){};

// The platform answers with something that is no VM list. Read as an empty list
// it would say that no VM leaves.
TEST(Documents, ReadsVmsAndRefusesOtherThings) {
  const auto vms =
      eg::ReadVms(R"([{"name":"n1","leaving":true},{"name":"e1"}])");
  CHECK_EQUAL(2U, vms.value().size());
  CHECK_TRUE(vms.value()[0].leaving);
  CHECK_FALSE(vms.value()[1].leaving);
  for (const char* bad : {"", "{}", "[1]", "[{}]", R"([{"name":)"}) {
    CHECK_FALSE(eg::ReadVms(bad).has_value());
  }
}

// In a large fleet the whole VM list each second costs a reader more than its
// control budget, so it comes whole only when it changed. What it said holds
// on: an endpoint that leaves must not come back because of a 304.
TEST(Documents, VmListHoldsUntilItChanges) {
  eg::VmListRead last;
  POINTERS_EQUAL(nullptr, eg::TakeVmList(last, 304, "", ""));
  const char* leaving = R"([{"name":"e1","leaving":true}])";
  CHECK_TRUE(eg::TakeVmList(last, 200, "\"7\"", leaving) != nullptr);
  const auto* unchanged = eg::TakeVmList(last, 304, "\"7\"", "");
  CHECK_TRUE(unchanged != nullptr && unchanged->at(0).leaving);
  POINTERS_EQUAL(nullptr, eg::TakeVmList(last, 503, "", ""));
  POINTERS_EQUAL(nullptr, eg::TakeVmList(last, 200, "\"8\"", "[{"));
  STRCMP_EQUAL("\"7\"", last.etag.c_str());
  const auto* back = eg::TakeVmList(last, 200, "\"8\"", "[]");
  CHECK_TRUE(back != nullptr && back->empty());
}

// An engine with a bug reports numbers beyond all bounds. Believed, they would
// overflow or put it before all others for days.
TEST(Documents, ReportTakesNoNonsense) {
  const egretladder::rules::Rules rules;
  const auto report = eg::ReadEngineReport(
      R"({"boot":5,"age_ms":18446744073709551615,"running":99999999999,)"
      R"("cache_used":7.5,"loaded":["unknown",3]})",
      rules);
  CHECK_EQUAL(5U, report.value().boot);
  CHECK(report.value().age == 24h);
  CHECK_EQUAL(4294967295U, report.value().running);
  DOUBLES_EQUAL(1.0, report.value().cache_used, 0);
  CHECK_TRUE(report.value().loaded.empty());
  CHECK_FALSE(eg::ReadEngineReport("[]", rules).has_value());
}

TEST_GROUP(NodeConfig) {
  const std::string whole_ =
      "[node]\nname = n1\nzone = bole\ncallers = 127.0.0.1:80\n"
      "peers = 127.0.0.1:81\n[platform]\naddress = 127.0.0.1:90\n";

  std::string FirstFault(const std::string& text) {
    const auto config = eg::ReadNodeConfig(text, "n.ini");
    CHECK_FALSE(config.has_value());
    return ek::Describe(config.error());
  }
};

TEST(NodeConfig, StandardValuesAreThoseOfTheLimits) {
  const auto config = eg::ReadNodeConfig(whole_, "n.ini");
  CHECK_TRUE(config.has_value());
  const eg::Limits& read = config.value().gateway.limits;
  const eg::Limits standard;
  CHECK_EQUAL(standard.header_bytes, read.header_bytes);
  CHECK_EQUAL(standard.body_bytes, read.body_bytes);
  CHECK_EQUAL(standard.bodies_bytes, read.bodies_bytes);
  CHECK_EQUAL(standard.connections, read.connections);
  CHECK(standard.request_time == read.request_time);
  CHECK(standard.answer_time == read.answer_time);
  CHECK(standard.idle_timeout == read.idle_timeout);
  CHECK(standard.write_timeout == read.write_timeout);
  CHECK_EQUAL(standard.caller_buffer, read.caller_buffer);
  CHECK_EQUAL(standard.answer_bytes, read.answer_bytes);
  CHECK(config.value().stop_time == eg::kStopTime);
  CHECK(config.value().gateway.linger == eg::kLinger);
  STRCMP_EQUAL("127.0.0.1:80", config.value().gateway.caller_listen.c_str());
}

// An operator mistypes a setting. The node doesn't start; its log must say
// which line to mend.
TEST(NodeConfig, FaultsNameFileLineKeyAndWhatIsExpected) {
  STRCMP_CONTAINS("n.ini:8: unknown key 'platform.prot'",
                  FirstFault(whole_ + "prot = 1\n").c_str());
  STRCMP_CONTAINS("missing 'node.name'", FirstFault("").c_str());
  STRCMP_CONTAINS("n.ini:9: log.format is 'xml', expected text or json",
                  FirstFault(whole_ + "[log]\nformat = xml\n").c_str());
  STRCMP_CONTAINS("n.ini:9: limits.body_size is '4', expected a number with",
                  FirstFault(whole_ + "[limits]\nbody_size = 4\n").c_str());
  STRCMP_CONTAINS("n.ini:9: limits.idle_time is 0",
                  FirstFault(whole_ + "[limits]\nidle_time = 0s\n").c_str());
  STRCMP_CONTAINS("tls.key is missing",
                  FirstFault(whole_ + "[tls]\ncertificate = a.pem\n").c_str());
  STRCMP_CONTAINS("n.ini:9: stop.linger is 4000ms, expected 5000ms or more",
                  FirstFault(whole_ + "[stop]\nlinger = 4s\n").c_str());
  STRCMP_CONTAINS(
      "n.ini:9: stop.linger is longer than stop.time",
      FirstFault(whole_ + "[stop]\nlinger = 9s\ntime = 8s\n").c_str());
  std::string zone = whole_;
  zone.replace(zone.find("bole"), 4, "bo le");
  STRCMP_CONTAINS("n.ini:3: node.zone is 'bo le'", FirstFault(zone).c_str());
}

// The time for a stop ends when callers still keep the node's address: calls
// are ended some 100 ms before it, and what callers send until the end of their
// keeping is cut.
TEST(NodeConfig, AStopThatCallersOutlastIsRefused) {
  STRCMP_CONTAINS(
      "stop.", FirstFault(whole_ + "[stop]\ntime = 8s\nlinger = 8s\n").c_str());
}

TEST(NodeConfig, EverySettingIsDescribed) {
  const std::string text = eg::DescribeSettings();
  for (const ek::SettingSpec& spec : eg::NodeSettings()) {
    STRCMP_CONTAINS((std::string(spec.key) + " = ").c_str(), text.c_str());
  }
  STRCMP_CONTAINS("body_size = 4MiB", text.c_str());
}

// An operator misspells the scheduler's name and must not have to look for the
// right one.
TEST(NodeConfig, UnknownSchedulerListsTheKnownOnes) {
  std::string text = whole_;
  text.insert(text.find("zone"), "scheduler = none\n");
  STRCMP_CONTAINS("expected one of", FirstFault(text).c_str());
  STRCMP_CONTAINS("ladder", FirstFault(text).c_str());
}
