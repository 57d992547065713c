#pragma once

#include "RequestContext.h"

#include <algorithm>
#include <memory>

namespace Steering {

/// Counts the bytes of one attempt for the lifetime of this object: those of the answer as held by
/// the instance, those of the request's body as held by the target. The instance's own copy of the
/// body is counted with the caller's request. Thread safety: none; belongs to the thread of \a
/// held.
class HeldAttempt
{
public:
    /// \a target is null for an attempt through a peer.
    HeldAttempt(std::shared_ptr<Policy::HeldBytes> held, std::shared_ptr<TargetState> target,
                std::size_t body)
        : held_(std::move(held))
        , target_(std::move(target))
        , body_(static_cast<std::int64_t>(body))
    {
        ++held_->awaitedAnswers_;
        if (target_)
            target_->bytes_.held_ += body_;
    }
    ~HeldAttempt()
    {
        held_->forTargets_ = held_->forTargets_ - answer_;
        if (answer_ == Policy::Bytes(0))
            --held_->awaitedAnswers_;
        if (target_)
            target_->bytes_.held_ = target_->bytes_.held_ - body_;
    }
    HeldAttempt(const HeldAttempt &) = delete;
    HeldAttempt &operator=(const HeldAttempt &) = delete;

    /// Counts more bytes of the answer. Returns false, and counts nothing, if they do not fit.
    bool holdAnswer(std::size_t more, Http::AnswerLength length)
    {
        const Policy::Bytes bytes(static_cast<std::int64_t>(more));
        const bool fits = length == Http::AnswerLength::Stated
                              ? Policy::mayHold(*held_, bytes)
                              : Policy::mayHoldUnstated(*held_, bytes);
        if (!fits)
            return false;
        if (answer_ == Policy::Bytes(0))
            --held_->awaitedAnswers_;
        held_->forTargets_ += bytes;
        answer_ += bytes;
        return true;
    }

private:
    std::shared_ptr<Policy::HeldBytes> held_;
    std::shared_ptr<TargetState> target_;
    Policy::Bytes body_;
    Policy::Bytes answer_;
};

} // namespace Steering
