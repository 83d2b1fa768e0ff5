#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "egretladder/rules/limits.h"
#include "egretladder/rules/rules.h"

using namespace std::chrono_literals;
namespace er = egretladder::rules;

namespace {

const char* const kValidDocument = R"([document]
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

std::vector<er::ValidationError> ReadErrors(const std::string& text) {
  std::vector<er::ValidationError> errors;
  const auto read = er::ReadRules(text, "r.ini", nullptr, &errors);
  CHECK_EQUAL(errors.empty(), read.has_value());
  return errors;
}

/// Returns the errors of the valid document with `line` added to `section`.
std::vector<er::ValidationError> ReadErrorsWith(const std::string& section,
                                                const std::string& line) {
  std::string text = kValidDocument;
  const std::string header = "[" + section + "]\n";
  text.insert(text.find(header) + header.size(), line + "\n");
  return ReadErrors(text);
}

void CheckOneError(const std::string& section, const std::string& line,
                   const char* what) {
  const auto errors = ReadErrorsWith(section, line);
  CHECK_EQUAL(1U, errors.size());
  STRCMP_CONTAINS(what, errors[0].what.c_str());
  STRCMP_EQUAL("r.ini", errors[0].file.c_str());
  CHECK(errors[0].line > 1);
  CHECK_FALSE(errors[0].hint.empty());
}

}  // namespace

TEST_GROUP(ReadRules){};

TEST(ReadRules, ReadsEveryKindOfRule) {
  const auto read = er::ReadRules(kValidDocument, "r.ini", nullptr);
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
  STRCMP_EQUAL("Hanna", e1.source.requested_by.c_str());
  CHECK(er::IsValid(er::FindNode(rules, "n1")));
  CHECK_FALSE(er::IsValid(er::FindNode(rules, "n2")));
}

TEST(ReadRules, KeepsHandlesAndRowsOfRemovedNames) {
  const auto first = er::ReadRules(kValidDocument, "r.ini", nullptr);
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

TEST(ReadRules, ReportsEveryErrorInOnePassInLineOrder) {
  const auto errors = ReadErrors(
      "[document]\nversion = 1\n[zone]\nbole = out=maybe colour=red ; H\n"
      "[endpoint]\ne = address=here:80 zone=kality serves=m ; H\n");
  CHECK_EQUAL(6U, errors.size());
  CHECK_EQUAL(2U, errors[0].line);
  CHECK_EQUAL(4U, errors[1].line);
  CHECK_EQUAL(6U, errors[5].line);
}

// A rule without a requester would stay for years, because nobody dares to
// remove it. It is rejected, and so is a version line without a requester.
TEST(ReadRules, RejectsARuleWithoutARequester) {
  CheckOneError("zone", "kality = region=addis", "names nobody");
  CHECK_EQUAL(1U, ReadErrors("[document]\nversion = 1\n").size());
}

TEST(ReadRules, RejectsUnknownSectionsKeysAndReferences) {
  CHECK_EQUAL(
      1U, ReadErrors(std::string(kValidDocument) + "[tenant]\nx = a=b ; H\n")
              .size());
  CheckOneError("document", "colour = red ; H", "unknown key 'colour'");
  CheckOneError("headers", "tier = X-Tier ; H", "unknown key 'tier'");
  CheckOneError("headers", "class = X Class ; H", "not the name of a header");
  CheckOneError("zone", "kality = colour=red ; H", "unknown key 'colour'");
  CheckOneError("service", "pay = copies=2 ; H", "unknown key 'copies'");
  CheckOneError("account", "q = classes=buyr ; H", "names no class");
  CheckOneError("model", "a = base=none ; H", "names no model");
  CheckOneError("endpoint", "e = address=10.0.0.9:1 zone=bol serves=trace ; H",
                "names no zone");
  CheckOneError("endpoint", "e = address=10.0.0.9:1 zone=bole serves=tr ; H",
                "names no model");
}

TEST(ReadRules, RejectsValuesOutOfRange) {
  CheckOneError("class", "c = tier=6 first_token=1s ; H", "tier");
  CheckOneError("class", "c = tier=0 first_token=1s ; H", "tier");
  CheckOneError("class", "c = first_token=1s ; H", "tier");
  CheckOneError("class", "c = tier=1 ; H", "'first_token' is missing");
  CheckOneError("class", "c = tier=1 first_token=5 ; H", "duration");
  CheckOneError("class", "c = tier=1 first_token=1s repeatable=0 ; H",
                "repeatable=0");
  CheckOneError("account", "q = classes=bulk share=0 ; H", "share=0");
  CheckOneError("account", "q = classes=bulk running=-1 ; H", "running=-1");
  CheckOneError("account", "q = classes=bulk,bulk ; H", "twice");
  CheckOneError("account", "q = share=1 ; H", "'classes' is missing");
  CheckOneError(
      "endpoint",
      "e = address=10.0.0.9:1 zone=bole serves=trace bears=1 cold_bears=2 ; H",
      "cold_bears is above bears");
  CheckOneError("model", "m = copies=3 ; H", "0 endpoints serve it");
  CheckOneError("model", "m = base=trace-abay ; H", "is an adapter");
  CheckOneError("zone", "kality = out=yes out=no ; H", "stands twice");
  CheckOneError("zone", "kality = out ; H", "not key=value");
}

TEST(ReadRules, RejectsInvalidAndDuplicateAddressesAndNames) {
  CheckOneError("node",
                "n = callers=10.0.1.1:80 peers=10.0.2.2:1 zone=bole ; H",
                "also the address");
  CheckOneError("node", "n = callers=10.0.1:80 peers=10.0.2.2:1 zone=bole ; H",
                "not an address");
  CheckOneError("node",
                "n = callers=10.0.2.1:70000 peers=10.0.2.2:1 zone=bole ; H",
                "not an address");
  CheckOneError("service", "trace = ; H", "is declared above");
  CheckOneError("zone", "ka,lity = ; H", "not a valid name");
}

TEST(ReadRules, RejectsMalformedEmptyAndOversizedDocuments) {
  CHECK_EQUAL(1U, ReadErrors("").size());
  const auto malformed = ReadErrors("[zone]\nbole\n");
  CHECK_EQUAL(1U, malformed.size());
  CHECK_EQUAL(2U, malformed[0].line);
  const auto oversized =
      ReadErrors(std::string(er::kMaxDocumentBytes + 1, ';'));
  STRCMP_CONTAINS("mebibyte", oversized[0].what.c_str());
  CHECK_EQUAL(1U, ReadErrors("[document]\nversion = 0 ; H\n").size());
}
