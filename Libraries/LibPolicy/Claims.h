#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Policy {

/// Progress of a claimed request, as stored.
enum class ClaimState {
    /// Claimed by an entry; whether the request ran is unknown.
    Claimed,
    /// The request ran; the answer is stored with the claim.
    Run,
    /// The request certainly did not run; any entry may claim it again.
    Released,
};

/// The record that binds an idempotency key to one execution of one request.
struct Claim
{
    ClaimState state_ = ClaimState::Claimed;
    /// Distinguishes requests that use the same key.
    std::uint64_t requestHash_ = 0;
    /// Unique id of the attempt that holds the claim. After a lost confirmation it shows whether
    /// the write succeeded.
    std::string holder_;
    int answerStatus_ = 0;
    std::string answerType_;
    std::string answerBody_;

    bool operator==(const Claim &) const = default;
};

enum class ClaimVerdict {
    /// This attempt holds the claim: run the request.
    Proceed,
    /// Take over the released claim, on condition that it is unchanged.
    TakeOver,
    /// The request ran before: return the stored answer.
    Replay,
    /// Another attempt holds the claim and its outcome is unknown.
    Unknown,
    /// The key belongs to another request.
    OtherRequest,
};

/// Decides how an attempt proceeds with the claim that it found.
///
/// Without the claim, a caller that got no answer repeats its request through another entry while
/// the first one is still in progress, and a release order runs twice. A claim never expires by
/// time, because its holder may only be paused. Thread safety: any thread.
ClaimVerdict evaluateClaim(const Claim &found, const std::string &ownHolder,
                           std::uint64_t requestHash);

/// Returns the text in which the store keeps a claim. claimFromText() parses it; for any other text
/// it returns std::nullopt with PlatformBadAnswer as the last reason.
///
/// Thread safety: any thread.
std::string toText(const Claim &claim);
std::optional<Claim> claimFromText(const std::string &text);

/// Returns a hash of the request; different requests have different hashes with near certainty.
///
/// Thread safety: any thread.
std::uint64_t requestHash(const std::string &method, const std::string &target,
                          const std::string &body);

} // namespace Policy
