#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>

namespace Policy {

using Bytes = Model::StrongNumber<struct BytesTag, std::int64_t>;

/// The bytes that an instance holds for callers and targets. Not shared between threads.
struct HeldBytes
{
    /// Requests that are being read or processed, and answers that were not delivered yet. All
    /// attempts of a request send the same copy of its body.
    Bytes forCallers_;
    /// Answers that are being received.
    Bytes forTargets_;
    /// Requests in progress at targets whose answers have not begun.
    std::int64_t awaitedAnswers_ = 0;
    /// Moving average of the answers' sizes.
    Bytes meanAnswer_;
    /// std::nullopt if the instance's memory is unknown; then nothing is bounded.
    std::optional<Bytes> limit_;
};

/// The bytes of request bodies that one instance has in progress at an incarnation of a target. Not
/// shared between threads.
struct TargetBytes
{
    Bytes held_;
    Bytes limit_{64LL * 1024 * 1024};
    /// The most that was held when a connection to the target was lost.
    Bytes atLoss_;
    bool hasCrashed_ = false;
};

/// The other half of the memory is for the process itself, for buffers that are not counted, and
/// for the allocator's unused space.
constexpr double heldMemoryPart = 0.5;
/// The part of the bound that answers without a stated length may fill. Targets whose answers never
/// end would otherwise leave no room for other requests.
constexpr double unstatedAnswersPart = 0.5;
/// The same for a single answer.
constexpr double unstatedAnswerPart = 0.125;
/// The rest is for the store, peers, logs and refused connections that are being closed.
constexpr double callerDescriptorPart = 0.9;
/// Of the other descriptors, the part for connections that are being refused: closing them at once
/// can lose the refusal.
constexpr double refusalDescriptorPart = 0.05;
/// A caller that pipelines requests and does not read its answers keeps at most this and the
/// answers to the requests that were read before.
constexpr Bytes maxUnreadAnswers{1024 * 1024};
/// A target that crashed while it held less of this instance than this did not run out of memory
/// because of it. Half of a few small requests as the bound would leave most of its slots unused.
constexpr Bytes minBytesOfCrash{1024 * 1024};
/// Weight of one answer in the mean size.
constexpr double answerSizeWeight = 0.05;

/// Returns the bound for an instance of \a size, or std::nullopt if its memory is unknown. Thread
/// safety: any thread.
std::optional<Bytes> heldBytesLimit(const Model::InstanceSize &size);
/// Returns how many connections an instance of \a size may have open, or std::nullopt if its
/// descriptors are unknown. Thread safety: any thread.
std::optional<std::size_t> connectionLimit(const Model::InstanceSize &size);
/// Returns how many refused connections may stay open until the peer has read the refusal. Thread
/// safety: any thread.
std::size_t lingeringRefusals(const Model::InstanceSize &size);

/// Returns all bytes that are held. Thread safety: \a held belongs to the calling thread.
Bytes totalOf(const HeldBytes &held);
/// Returns whether \a more bytes fit below the bound. Thread safety: as totalOf().
bool mayHold(const HeldBytes &held, Bytes more);

/// Returns whether an answer that states no length may grow by \a more bytes. Thread safety: as
/// totalOf().
bool mayHoldUnstated(const HeldBytes &held, Bytes more);
/// Returns the largest size of such an answer, or std::nullopt if nothing is bounded. Thread
/// safety: as totalOf().
std::optional<Bytes> unstatedAnswerLimit(const HeldBytes &held);

/// Returns Ok, or TooManyBytesHeld if the answer to one more attempt would exceed the bound.
///
/// Room for a mean answer to each request in progress is kept free. Without it, requests are sent
/// while their answers do not fit, and callers get an unknown outcome in place of a refusal.
/// Thread safety: as totalOf().
Model::ResultCode verdictOnSending(const HeldBytes &held);
/// Returns Ok, or TooManyBytesHeld if a body of \a body bytes would exceed the target's bound.
///
/// A target that holds nothing of this instance takes a request of any size; otherwise its bound
/// after a crash could refuse a request forever. Thread safety: \a target belongs to the calling
/// thread.
Model::ResultCode verdictOnTarget(const TargetBytes &target, Bytes body);
/// Returns Ok, or TooManyConnections if one more connection than the \a open ones would exceed \a
/// limit. Thread safety: any thread.
Model::ResultCode verdictOnConnection(std::size_t open, std::optional<std::size_t> limit);

/// Records the size of a whole answer. Thread safety: as totalOf().
void learnAnswerSize(HeldBytes &held, Bytes size);

/// Records that a connection to the target was lost, while the lost request is still counted. The
/// losses of one crash are noticed one after the other, so the largest count is kept; \a isFirst
/// begins a new count. Thread safety: as verdictOnTarget().
void noteConnectionLost(TargetBytes &target, bool isFirst);
/// Sets the bound to half of what the target held when it crashed, unless that was less than
/// minBytesOfCrash. Thread safety: as verdictOnTarget().
void noteTargetCrashed(TargetBytes &target);
/// Returns the state for the incarnation that follows \a earlier: a bound that a crash of \a
/// earlier has set applies to the next incarnation only. \a wasLeaving tells that it ended as
/// announced. Thread safety: as verdictOnTarget().
TargetBytes bytesOfNextIncarnation(const TargetBytes &earlier, bool wasLeaving);

} // namespace Policy
