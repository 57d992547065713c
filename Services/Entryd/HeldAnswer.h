#pragma once

#include <LibHttp/LibHttp.h>
#include <LibPolicy/LibPolicy.h>

#include <memory>

namespace Entryd {

/// Counts the bytes of the answer to one attempt for the lifetime of this object.
///
/// Thread safety: none; belongs to the thread of \a held.
class HeldAnswer
{
public:
    explicit HeldAnswer(std::shared_ptr<Policy::HeldBytes> held)
        : held_(std::move(held))
    {
    }
    ~HeldAnswer() { held_->forTargets_ = held_->forTargets_ - bytes_; }
    HeldAnswer(const HeldAnswer &) = delete;
    HeldAnswer &operator=(const HeldAnswer &) = delete;

    /// Makes an exchange with \a options count its answer here. The options must not outlive this
    /// object.
    void bound(Http::ExchangeOptions &options)
    {
        options.holdAnswer_ = [this](std::size_t bytes, Http::AnswerLength length) {
            return hold(Policy::Bytes(static_cast<std::int64_t>(bytes)), length);
        };
        if (const auto limit = Policy::unstatedAnswerLimit(*held_))
            options.unstatedAnswerLimitBytes_ = static_cast<std::size_t>(limit->value());
    }

private:
    /// Counts more bytes. Returns false, and counts nothing, if they do not fit.
    bool hold(Policy::Bytes bytes, Http::AnswerLength length)
    {
        const bool fits = length == Http::AnswerLength::Stated
                              ? Policy::mayHold(*held_, bytes)
                              : Policy::mayHoldUnstated(*held_, bytes);
        if (!fits)
            return false;
        held_->forTargets_ += bytes;
        bytes_ += bytes;
        return true;
    }

    std::shared_ptr<Policy::HeldBytes> held_;
    Policy::Bytes bytes_;
};

} // namespace Entryd
