#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Policy {

/// How far a claimed request came, as the store keeps it.
enum class ClaimState {
    /// An entry took it; whether it ran is not known.
    Claimed,
    /// It ran; the answer is kept beside the claim.
    Run,
    /// It certainly did not run; any entry may claim it anew.
    Released,
};

/// The record that ties an idempotency key to one run of one request.
struct Claim
{
    ClaimState state_ = ClaimState::Claimed;
    /// Tells requests with the same key apart.
    std::uint64_t requestHash_ = 0;
    /// The attempt that holds the claim: unrepeatable, so that a lost confirmation can be settled.
    std::string holder_;
    int answerStatus_ = 0;
    std::string answerType_;
    std::string answerBody_;

    bool operator==(const Claim &) const = default;
};

enum class ClaimVerdict {
    /// The claim is this attempt's own: run the request.
    Proceed,
    /// Take the released claim over, on condition that it has not changed.
    TakeOver,
    /// It ran before: give the kept answer.
    Replay,
    /// Someone claimed it and its outcome is not known.
    Unknown,
    /// The key belongs to another request.
    OtherRequest,
};

/// Decides what an attempt does about the claim that it found.
///
/// What goes wrong without the claim: a caller that got no answer repeats its request through
/// another entry while the first one is still in progress, and a release order runs twice. A claim
/// never lapses by time: its holder may only be paused. Thread safety: any thread.
ClaimVerdict judgeClaim(const Claim &found, const std::string &ownHolder,
                        std::uint64_t requestHash);

/// Returns the text in which the store keeps a claim; claimFromText() reads it back and returns
/// nothing, with PlatformBadAnswer as the last reason, for any other text.
///
/// Thread safety: any thread.
std::string toText(const Claim &claim);
std::optional<Claim> claimFromText(const std::string &text);

/// Returns a number that differs, with near certainty, for different requests.
///
/// Thread safety: any thread.
std::uint64_t requestHash(const std::string &method, const std::string &target,
                          const std::string &body);

} // namespace Policy
