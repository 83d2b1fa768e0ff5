#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "egretladder/rules/limits.h"
#include "egretladder/rules/rules.h"

using namespace std::chrono_literals;
namespace er = egretladder::rules;

namespace {

const char* const kWhole = R"([document]
version = 7 ; Hanna
[headers]
account = X-Account ; Hanna
[zone]
bole = region=addis ; Hanna
yeka = region=addis out=yes ; Hanna
[model]
trace = copies=2 ; Hanna
trace-abay = base=trace ; Abay
[service]
seats = ; Quetzal
[class]
buyer = tier=1 first_token=800ms between_tokens=43ms ; Abay
enrol = tier=1 first_token=2s repeatable=no max_wait=5s ; Quetzal
bulk = tier=5 first_token=1m running=4 waiting=100 ; Abay
[account]
abay = classes=buyer,bulk running=8 share=3 ; Abay
[endpoint]
e1 = address=10.0.0.1:8000 zone=bole serves=trace,trace-abay bears=16 cold_bears=2 fencing=honoured holds=2 ; Hanna
e2 = address=[::1]:8000 zone=yeka serves=trace leaving=yes ; Hanna
[node]
n1 = callers=10.0.1.1:80 peers=10.0.1.1:81 zone=bole ; Hanna
)";

std::vector<er::ValidationError> FaultsOf(const std::string& text) {
  std::vector<er::ValidationError> faults;
  const auto read = er::ReadRules(text, "r.ini", nullptr, &faults);
  CHECK_EQUAL(faults.empty(), read.has_value());
  return faults;
}

/// Reads a document that is whole but for `line` in `section`.
std::vector<er::ValidationError> FaultsWith(const std::string& section,
                                            const std::string& line) {
  std::string text = kWhole;
  const std::string head = "[" + section + "]\n";
  text.insert(text.find(head) + head.size(), line + "\n");
  return FaultsOf(text);
}

void CheckOneFault(const std::string& section, const std::string& line,
                   const char* what) {
  const auto faults = FaultsWith(section, line);
  CHECK_EQUAL(1U, faults.size());
  STRCMP_CONTAINS(what, faults[0].what.c_str());
  STRCMP_EQUAL("r.ini", faults[0].file.c_str());
  CHECK(faults[0].line > 1);
  CHECK_FALSE(faults[0].hint.empty());
}

}  // namespace

TEST_GROUP(ReadRules){};

TEST(ReadRules, ReadsEveryKindOfRule) {
  const auto read = er::ReadRules(kWhole, "r.ini", nullptr);
  CHECK_TRUE(read.has_value());
  const er::Rules& rules = *read.value();
  CHECK_EQUAL(7U, rules.version);
  STRCMP_EQUAL("X-Account", rules.headers.account.c_str());
  STRCMP_EQUAL("X-Request-Class", rules.headers.cls.c_str());
  CHECK_TRUE(rules.zones[er::FindZone(rules, "yeka").idx].out);
  const auto trace = er::FindTarget(rules, "trace");
  CHECK(rules.targets[er::FindTarget(rules, "trace-abay").idx].base == trace);
  CHECK(rules.targets[er::FindTarget(rules, "seats").idx].kind ==
        er::TargetKind::kService);
  const er::Class& enrol = rules.classes[er::FindClass(rules, "enrol").idx];
  CHECK_FALSE(enrol.repeatable);
  CHECK(enrol.first_token == 2s && enrol.max_wait == 5s);
  const auto account = rules.accounts[er::FindAccount(rules, "abay").idx];
  CHECK_TRUE(er::Allows(account, er::FindClass(rules, "bulk")));
  CHECK_FALSE(er::Allows(account, er::FindClass(rules, "enrol")));
  const auto e1 = rules.endpoints[er::FindEndpoint(rules, "e1").idx];
  CHECK(e1.max_in_flight == 16 && e1.cold_max_in_flight == 2 &&
        e1.honours_fencing);
  CHECK_TRUE(er::Serves(e1, trace));
  STRCMP_EQUAL("Hanna", e1.source.asked_by.c_str());
  CHECK(er::IsValid(er::FindNode(rules, "n1")));
  CHECK_FALSE(er::IsValid(er::FindNode(rules, "n2")));
}

TEST(ReadRules, KeepsHandlesAndRowsOfGoneNames) {
  const auto first = er::ReadRules(kWhole, "r.ini", nullptr);
  const std::string next =
      "[document]\nversion = 8 ; H\n[zone]\nnew = ; H\nyeka = ; H\n";
  const auto second = er::ReadRules(next, "s.ini", first.value().get());
  CHECK_TRUE(second.has_value());
  const er::Rules& rules = *second.value();
  CHECK(er::FindZone(rules, "yeka") == er::FindZone(*first.value(), "yeka"));
  CHECK_EQUAL(2U, er::FindZone(rules, "new").idx);
  CHECK_FALSE(er::IsValid(er::FindZone(rules, "bole")));
  STRCMP_EQUAL("bole", rules.zones[0].source.name.c_str());
  CHECK_FALSE(rules.zones[0].source.present);
  STRCMP_EQUAL("X-Client-Account", rules.headers.account.c_str());
}

TEST(ReadRules, NamesEveryFaultInOnePassInOrder) {
  const auto faults = FaultsOf(
      "[document]\nversion = 1\n[zone]\nbole = out=maybe colour=red ; H\n"
      "[endpoint]\ne = address=here:80 zone=kality serves=m ; H\n");
  CHECK_EQUAL(6U, faults.size());
  CHECK_EQUAL(2U, faults[0].line);
  CHECK_EQUAL(4U, faults[1].line);
  CHECK_EQUAL(6U, faults[5].line);
}

// A rule that nobody is named for stays for years, because nobody dares to
// remove it. It is refused, the version's line included.
TEST(ReadRules, RefusesARuleWithoutWhoAskedForIt) {
  CheckOneFault("zone", "kality = region=addis", "names nobody");
  CHECK_EQUAL(1U, FaultsOf("[document]\nversion = 1\n").size());
}

TEST(ReadRules, RefusesUnknownSectionsKeysAndReferences) {
  CHECK_EQUAL(1U,
              FaultsOf(std::string(kWhole) + "[tenant]\nx = a=b ; H\n").size());
  CheckOneFault("document", "colour = red ; H", "unknown key 'colour'");
  CheckOneFault("headers", "tier = X-Tier ; H", "unknown key 'tier'");
  CheckOneFault("headers", "class = X Class ; H", "not the name of a header");
  CheckOneFault("zone", "kality = colour=red ; H", "unknown key 'colour'");
  CheckOneFault("service", "pay = copies=2 ; H", "unknown key 'copies'");
  CheckOneFault("account", "q = classes=buyr ; H", "names no class");
  CheckOneFault("model", "a = base=none ; H", "names no model");
  CheckOneFault("endpoint", "e = address=10.0.0.9:1 zone=bol serves=trace ; H",
                "names no zone");
  CheckOneFault("endpoint", "e = address=10.0.0.9:1 zone=bole serves=tr ; H",
                "names no model");
}

TEST(ReadRules, RefusesValuesOutOfRange) {
  CheckOneFault("class", "c = tier=6 first_token=1s ; H", "tier");
  CheckOneFault("class", "c = tier=0 first_token=1s ; H", "tier");
  CheckOneFault("class", "c = first_token=1s ; H", "tier");
  CheckOneFault("class", "c = tier=1 ; H", "'first_token' is missing");
  CheckOneFault("class", "c = tier=1 first_token=5 ; H", "duration");
  CheckOneFault("class", "c = tier=1 first_token=1s repeatable=0 ; H",
                "repeatable=0");
  CheckOneFault("account", "q = classes=bulk share=0 ; H", "share=0");
  CheckOneFault("account", "q = classes=bulk running=-1 ; H", "running=-1");
  CheckOneFault("account", "q = classes=bulk,bulk ; H", "twice");
  CheckOneFault("account", "q = share=1 ; H", "'classes' is missing");
  CheckOneFault(
      "endpoint",
      "e = address=10.0.0.9:1 zone=bole serves=trace bears=1 cold_bears=2 ; H",
      "cold_bears is above bears");
  CheckOneFault("model", "m = copies=3 ; H", "0 endpoints serve it");
  CheckOneFault("model", "m = base=trace-abay ; H", "is an adapter");
  CheckOneFault("zone", "kality = out=yes out=no ; H", "stands twice");
  CheckOneFault("zone", "kality = out ; H", "not key=value");
}

TEST(ReadRules, RefusesBadAndDuplicateAddressesAndNames) {
  CheckOneFault("node",
                "n = callers=10.0.1.1:80 peers=10.0.2.2:1 zone=bole ; H",
                "also the address");
  CheckOneFault("node", "n = callers=10.0.1:80 peers=10.0.2.2:1 zone=bole ; H",
                "not an address");
  CheckOneFault("node",
                "n = callers=10.0.2.1:70000 peers=10.0.2.2:1 zone=bole ; H",
                "not an address");
  CheckOneFault("service", "trace = ; H", "is declared above");
  CheckOneFault("zone", "ka,lity = ; H", "not a valid name");
}

TEST(ReadRules, RefusesBrokenMissingAndOversizedDocuments) {
  CHECK_EQUAL(1U, FaultsOf("").size());
  const auto broken = FaultsOf("[zone]\nbole\n");
  CHECK_EQUAL(1U, broken.size());
  CHECK_EQUAL(2U, broken[0].line);
  const auto huge = FaultsOf(std::string(er::kMaxDocumentBytes + 1, ';'));
  STRCMP_CONTAINS("mebibyte", huge[0].what.c_str());
  CHECK_EQUAL(1U, FaultsOf("[document]\nversion = 0 ; H\n").size());
}
