#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "egretladder/gateway/limits.h"
#include "peer_codec_p.h"

namespace egretladder::gateway {
namespace {

using std::chrono::milliseconds;

std::string TextOf(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

wire::MemberState StateOf(fleet::MemberState state) {
  switch (state) {
    case fleet::MemberState::kAlive:
      return wire::MemberState::ALIVE;
    case fleet::MemberState::kSuspect:
      return wire::MemberState::SUSPECT;
    case fleet::MemberState::kLeaving:
      return wire::MemberState::LEAVING;
    case fleet::MemberState::kGone:
      return wire::MemberState::GONE;
  }
  return wire::MemberState::GONE;
}

kernel::Error Unknown(const char* what) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput,
                           "read peer message", "",
                           std::string("unknown ") + what);
}

// A list of empty entries takes no space on the wire, so a few bytes can claim
// millions of them. Without the bound a faulty peer would exhaust the memory of
// this node.
kernel::Result<void> CheckSize(unsigned size) {
  if (size <= kPeerListMost) return BOOST_OUTCOME_V2_NAMESPACE::success();
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput,
                           "read peer message", "", "a list is too long");
}

// A duration is added to the clock later. One near the limit of its type would
// overflow and yield a time in the past.
milliseconds SpanOf(std::int64_t count) {
  return std::clamp<milliseconds>(milliseconds(count), milliseconds{0},
                                  kPeerSpanMost);
}

kernel::Result<fleet::MemberState> StateOf(wire::MemberState state) {
  switch (state) {
    case wire::MemberState::ALIVE:
      return fleet::MemberState::kAlive;
    case wire::MemberState::SUSPECT:
      return fleet::MemberState::kSuspect;
    case wire::MemberState::LEAVING:
      return fleet::MemberState::kLeaving;
    case wire::MemberState::GONE:
      return fleet::MemberState::kGone;
  }
  return Unknown("member state");
}

template <typename Texts, typename List>
void WriteTexts(const Texts& texts, List list) {
  unsigned at = 0;
  for (const std::string& text : texts) list.set(at++, text.c_str());
}

unsigned SizeOf(std::size_t size) { return static_cast<unsigned>(size); }

void Write(const fleet::Member& member, wire::Member::Builder out) {
  out.setNode(member.node.c_str());
  out.setCallerAddress(member.caller_address.c_str());
  out.setPeerAddress(member.peer_address.c_str());
  out.setZone(member.zone.c_str());
  out.setIncarnation(member.incarnation);
  out.setStarted(member.started);
  out.setHeartbeat(member.heartbeat);
  out.setState(StateOf(member.state));
}

kernel::Result<fleet::Member> ReadMember(wire::Member::Reader in) {
  fleet::Member member;
  member.node = TextOf(in.getNode());
  member.caller_address = TextOf(in.getCallerAddress());
  member.peer_address = TextOf(in.getPeerAddress());
  member.zone = TextOf(in.getZone());
  member.incarnation = in.getIncarnation();
  member.started = in.getStarted();
  member.heartbeat = in.getHeartbeat();
  BOOST_OUTCOME_TRY(state, StateOf(in.getState()));
  member.state = state;
  return member;
}

void Write(const fleet::Gossip& gossip, wire::Gossip::Builder out) {
  auto members = out.initMembers(SizeOf(gossip.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    Write(gossip.members[i], members[i]);
  }
  out.setRulesVersion(gossip.rules_version);
  out.setRulesDigest(gossip.rules_digest);
  auto quarantined = out.initQuarantined(SizeOf(gossip.quarantined.size()));
  for (unsigned i = 0; i < quarantined.size(); ++i) {
    quarantined[i].setFingerprint(gossip.quarantined[i].fingerprint);
    quarantined[i].setLeftMs(gossip.quarantined[i].left.count());
    quarantined[i].setDeaths(gossip.quarantined[i].deaths);
  }
  out.setReplyWanted(gossip.reply_wanted);
  out.setPing(gossip.ping);
  out.setAck(gossip.ack);
  WriteTexts(gossip.gone, out.initGone(SizeOf(gossip.gone.size())));
  out.setNodesDigest(gossip.nodes_digest);
  auto leaving = out.initLeavingVms(SizeOf(gossip.leaving_vms.size()));
  for (unsigned i = 0; i < leaving.size(); ++i) {
    leaving[i].setName(gossip.leaving_vms[i].name.c_str());
    leaving[i].setAgeMs(gossip.leaving_vms[i].age.count());
  }
}

kernel::Result<fleet::Message> ReadGossip(wire::Gossip::Reader in) {
  fleet::Gossip gossip;
  BOOST_OUTCOME_TRY(CheckSize(in.getMembers().size()));
  BOOST_OUTCOME_TRY(CheckSize(in.getQuarantined().size()));
  BOOST_OUTCOME_TRY(CheckSize(in.getGone().size()));
  BOOST_OUTCOME_TRY(CheckSize(in.getLeavingVms().size()));
  for (const auto member : in.getMembers()) {
    BOOST_OUTCOME_TRY(read, ReadMember(member));
    gossip.members.push_back(std::move(read));
  }
  gossip.rules_version = in.getRulesVersion();
  gossip.rules_digest = in.getRulesDigest();
  for (const auto one : in.getQuarantined()) {
    gossip.quarantined.push_back(
        {one.getFingerprint(), SpanOf(one.getLeftMs()), one.getDeaths()});
  }
  gossip.reply_wanted = in.getReplyWanted();
  gossip.ping = in.getPing();
  gossip.ack = in.getAck();
  for (const auto name : in.getGone()) gossip.gone.push_back(TextOf(name));
  gossip.nodes_digest = in.getNodesDigest();
  for (const auto vm : in.getLeavingVms()) {
    gossip.leaving_vms.push_back({TextOf(vm.getName()), SpanOf(vm.getAgeMs())});
  }
  return fleet::Message(std::move(gossip));
}

void Write(const fleet::SlotAsk& ask, wire::SlotAsk::Builder out) {
  out.setEndpoint(ask.endpoint.c_str());
  out.setInFlight(ask.in_flight);
  out.setWanted(ask.wanted);
  out.setUrgent(ask.urgent);
  out.setTotal(ask.total);
  out.setTotalBoot(ask.total_boot);
  out.setLiveFrom(ask.live_from);
  out.setDown(ask.down);
  auto evidence = out.initEvidence();
  evidence.setInTime(ask.evidence.in_time);
  evidence.setLate(ask.evidence.late);
  evidence.setFailed(ask.evidence.failed);
  evidence.setBoot(ask.evidence.boot);
}

fleet::SlotAsk ReadAsk(wire::SlotAsk::Reader in) {
  fleet::SlotAsk ask;
  ask.endpoint = TextOf(in.getEndpoint());
  ask.in_flight = in.getInFlight();
  ask.wanted = in.getWanted();
  ask.urgent = in.getUrgent();
  ask.total = in.getTotal();
  ask.total_boot = in.getTotalBoot();
  ask.live_from = in.getLiveFrom();
  ask.down = in.getDown();
  const auto evidence = in.getEvidence();
  ask.evidence.in_time = evidence.getInTime();
  ask.evidence.late = evidence.getLate();
  ask.evidence.failed = evidence.getFailed();
  ask.evidence.boot = evidence.getBoot();
  return ask;
}

void Write(const fleet::SlotLease& lease, wire::SlotLease::Builder out) {
  out.setEndpoint(lease.endpoint.c_str());
  out.setSlots(lease.slots);
  out.setLeftMs(lease.left.count());
  out.setAskNumber(lease.ask_number);
  out.setTotal(lease.total);
  out.setBoot(lease.boot);
  out.setRunning(lease.running);
  out.setWaiting(lease.waiting);
  out.setCacheUsedPerMille(lease.cache_used_per_mille);
  out.setReportAgeMs(lease.report_age.count());
  WriteTexts(lease.loaded, out.initLoaded(SizeOf(lease.loaded.size())));
}

kernel::Result<fleet::SlotLease> ReadLease(wire::SlotLease::Reader in) {
  BOOST_OUTCOME_TRY(CheckSize(in.getLoaded().size()));
  fleet::SlotLease lease;
  lease.endpoint = TextOf(in.getEndpoint());
  lease.slots = in.getSlots();
  lease.left = SpanOf(in.getLeftMs());
  lease.ask_number = in.getAskNumber();
  lease.total = in.getTotal();
  lease.boot = in.getBoot();
  lease.running = in.getRunning();
  lease.waiting = in.getWaiting();
  lease.cache_used_per_mille = in.getCacheUsedPerMille();
  lease.report_age = SpanOf(in.getReportAgeMs());
  for (const auto name : in.getLoaded()) lease.loaded.push_back(TextOf(name));
  return lease;
}

struct MessageWriter {
  wire::Message::Builder out;

  void operator()(const fleet::Gossip& gossip) {
    Write(gossip, out.initGossip());
  }
  void operator()(const fleet::RulesAsk& ask) {
    out.initRulesAsk().setHaveVersion(ask.have_version);
  }
  void operator()(const fleet::RulesOffer& offer) {
    auto made = out.initRulesOffer();
    made.setVersion(offer.version);
    made.setText(capnp::Text::Reader(offer.text.c_str(), offer.text.size()));
  }
  void operator()(const fleet::SlotAsks& asks) {
    auto made = out.initSlotAsks();
    made.setNumber(asks.number);
    auto list = made.initAsks(SizeOf(asks.asks.size()));
    for (unsigned i = 0; i < list.size(); ++i) Write(asks.asks[i], list[i]);
  }
  void operator()(const fleet::SlotLeases& leases) {
    auto list = out.initSlotLeases().initLeases(SizeOf(leases.leases.size()));
    for (unsigned i = 0; i < list.size(); ++i) Write(leases.leases[i], list[i]);
  }
};

}  // namespace

void Write(const fleet::Sender& sender, wire::Sender::Builder out) {
  out.setNode(sender.node.c_str());
  out.setIncarnation(sender.incarnation);
}

void Write(const fleet::Message& message, wire::Message::Builder out) {
  std::visit(MessageWriter{out}, message);
}

fleet::Sender ReadSender(wire::Sender::Reader in) {
  return {TextOf(in.getNode()), in.getIncarnation()};
}

kernel::Result<fleet::Message> ReadMessage(wire::Message::Reader in) {
  switch (in.which()) {
    case wire::Message::GOSSIP:
      return ReadGossip(in.getGossip());
    case wire::Message::RULES_ASK:
      return fleet::Message(fleet::RulesAsk{in.getRulesAsk().getHaveVersion()});
    case wire::Message::RULES_OFFER:
      return fleet::Message(
          fleet::RulesOffer{in.getRulesOffer().getVersion(),
                            TextOf(in.getRulesOffer().getText())});
    case wire::Message::SLOT_ASKS: {
      fleet::SlotAsks asks;
      BOOST_OUTCOME_TRY(CheckSize(in.getSlotAsks().getAsks().size()));
      asks.number = in.getSlotAsks().getNumber();
      for (const auto ask : in.getSlotAsks().getAsks()) {
        asks.asks.push_back(ReadAsk(ask));
      }
      return fleet::Message(std::move(asks));
    }
    case wire::Message::SLOT_LEASES: {
      fleet::SlotLeases leases;
      BOOST_OUTCOME_TRY(CheckSize(in.getSlotLeases().getLeases().size()));
      for (const auto lease : in.getSlotLeases().getLeases()) {
        BOOST_OUTCOME_TRY(read, ReadLease(lease));
        leases.leases.push_back(std::move(read));
      }
      return fleet::Message(std::move(leases));
    }
  }
  return Unknown("kind");
}

const char* KindOf(const fleet::Message& message) {
  constexpr std::array<const char*, std::variant_size_v<fleet::Message>>
      kNames = {"gossip", "rules_ask", "rules_offer", "slot_asks",
                "slot_leases"};
  return kNames[message.index()];
}

}  // namespace egretladder::gateway
