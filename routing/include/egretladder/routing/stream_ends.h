// Ends of streams that nothing but their connection tells.
//
// An engine may cut such a stream short, close its connection in good order and
// live on. That its process lives shows who ended the answer, not that the
// answer is whole. Only somebody else's word shows that: another attempt is
// asked for what follows the last event, and has nothing left, or more. Each
// such attempt costs an arrival at an endpoint, so that it is made where the
// end is in doubt, and otherwise for a sample.
#pragma once

#include <cstdint>

namespace egretladder::routing {

/// How streams ended, of one process or of all of a service.
struct StreamEnds {
  /// Streams that stated their own end, and those that didn't. Both are halved
  /// once they are `kMaxCountedEnds` together.
  std::uint32_t framed = 0;
  std::uint32_t bare = 0;
  /// Ends without framing, since the last stream that was cut short, behind
  /// which another attempt found nothing; `kMaxConfirmedEnds` at most.
  std::uint32_t confirmed = 0;
  bool cuts = false;  ///< It was found to cut streams short, not long ago.
  /// Of a service: how many of its processes were found to cut that had not
  /// been doubted. Of a process: that number when its ends were last confirmed;
  /// it counts as unconfirmed once another one has been found.
  std::uint32_t surprises = 0;
  /// Of a service: its part since cuts were last forgotten.
  std::uint32_t cutting = 0;
};

/// Streams after which half of what their framing showed is forgotten.
inline constexpr std::uint32_t kMaxCountedEnds = 256;
/// Streams that show a habit of framing.
inline constexpr std::uint32_t kMinCountedEnds = 8;
/// Ends without framing are rare if they are one in so many, or fewer: all of
/// them can be asked for within a usual retry budget.
inline constexpr std::uint32_t kRareBareEnds = 8;
/// Confirmed ends of an endpoint after which those that follow count as whole.
inline constexpr std::uint32_t kMinConfirmedEnds = 8;
/// Confirmed ends after which a cut is forgotten; of a service that was found
/// to cut none, those after which its other endpoints' ends count as whole,
/// too.
inline constexpr std::uint32_t kMaxConfirmedEnds = 32;
/// Processes that cut after which those of the same service are doubted, too.
inline constexpr std::uint32_t kCuttingToDoubtOthers = 2;
/// Part of the retries that samples leave to faults.
inline constexpr double kRetriesLeftBySamples = 0.5;

/// Records the head of a stream.
void OnStreamFraming(StreamEnds& ends, bool is_framed);
/// Records that another attempt found nothing behind an end of the endpoint's.
void OnEndConfirmed(StreamEnds& endpoint, StreamEnds& service);
/// Records that another attempt found more.
void OnCutFound(StreamEnds& endpoint, StreamEnds& service);

/// What an end without framing is worth, where the process that sent the stream
/// has lived on.
enum class EndVerdict : std::uint8_t {
  kWhole,
  /// Whole, but others may be cut. Asked for as long as retries abound.
  kSample,
  /// Nothing speaks for or against it. Asked for if any retry is left; whole
  /// otherwise, as answers may end so.
  kUnknown,
  kDoubted,  ///< Whole only once another attempt says so.
};
/// Returns the verdict's name in logs and metrics.
const char* NameOf(EndVerdict verdict);

/// What the verdict depends on.
struct BareEnd {
  StreamEnds endpoint;
  StreamEnds service;
  /// Another attempt can be asked for what follows the stream's last event.
  bool can_be_asked_for = false;
  bool is_empty = false;  ///< The run went on with the stream, without events.
  /// Another run has ended after the same event, so that this is a second word.
  bool is_second = false;
};

/// Judges an end. A stream that can't be asked for is whole unless its endpoint
/// was found to cut: breaking all such streams off loses each sound one. An
/// endpoint that is known to cut may do so before its first event.
EndVerdict JudgeBareEnd(const BareEnd& end);

}  // namespace egretladder::routing
