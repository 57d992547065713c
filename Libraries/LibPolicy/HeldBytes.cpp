#include "HeldBytes.h"

#include <algorithm>

namespace Policy {

using Model::ResultCode;

std::optional<Bytes> heldBytesLimit(const Model::InstanceSize &size)
{
    if (size.memory_.value() <= 0)
        return std::nullopt;
    constexpr double bytesPerMegabyte = 1024 * 1024;
    const double memory = static_cast<double>(size.memory_.value()) * bytesPerMegabyte;
    return Bytes(static_cast<std::int64_t>(memory * heldMemoryPart));
}

std::optional<std::size_t> connectionLimit(const Model::InstanceSize &size)
{
    if (size.descriptors_.value() <= 0)
        return std::nullopt;
    return static_cast<std::size_t>(static_cast<double>(size.descriptors_.value())
                                    * callerDescriptorPart);
}

std::size_t lingeringRefusals(const Model::InstanceSize &size)
{
    return static_cast<std::size_t>(static_cast<double>(size.descriptors_.value())
                                    * refusalDescriptorPart);
}

Bytes totalOf(const HeldBytes &held)
{
    return held.forCallers_ + held.forTargets_;
}

bool mayHold(const HeldBytes &held, Bytes more)
{
    return !held.limit_ || totalOf(held) + more <= *held.limit_;
}

bool mayHoldUnstated(const HeldBytes &held, Bytes more)
{
    if (!held.limit_)
        return true;
    const double limit = static_cast<double>(held.limit_->value()) * unstatedAnswersPart;
    return static_cast<double>((totalOf(held) + more).value()) <= limit;
}

std::optional<Bytes> unstatedAnswerLimit(const HeldBytes &held)
{
    if (!held.limit_)
        return std::nullopt;
    const double limit = static_cast<double>(held.limit_->value()) * unstatedAnswerPart;
    return Bytes(static_cast<std::int64_t>(limit));
}

ResultCode verdictOnSending(const HeldBytes &held)
{
    const Bytes answers((held.awaitedAnswers_ + 1) * held.meanAnswer_.value());
    return mayHold(held, answers) ? ResultCode::Ok : ResultCode::TooManyBytesHeld;
}

ResultCode verdictOnTarget(const TargetBytes &target, Bytes body)
{
    const bool fits = target.held_ == Bytes(0) || target.held_ + body <= target.limit_;
    return fits ? ResultCode::Ok : ResultCode::TooManyBytesHeld;
}

ResultCode verdictOnConnection(std::size_t open, std::optional<std::size_t> limit)
{
    return !limit || open < *limit ? ResultCode::Ok : ResultCode::TooManyConnections;
}

void learnAnswerSize(HeldBytes &held, Bytes size)
{
    const auto difference = static_cast<double>((size - held.meanAnswer_).value());
    // The first answer is the best estimate there is.
    const double weight = held.meanAnswer_ == Bytes(0) ? 1 : answerSizeWeight;
    held.meanAnswer_ += Bytes(static_cast<std::int64_t>(difference * weight));
}

void noteConnectionLost(TargetBytes &target, bool isFirst)
{
    target.atLoss_ = isFirst ? target.held_ : std::max(target.atLoss_, target.held_);
}

void noteTargetCrashed(TargetBytes &target)
{
    if (target.atLoss_ < minBytesOfCrash)
        return;
    target.hasCrashed_ = true;
    target.limit_ = Bytes(target.atLoss_.value() / 2);
}

TargetBytes bytesOfNextIncarnation(const TargetBytes &earlier, bool wasLeaving)
{
    TargetBytes crashed = earlier;
    if (!wasLeaving && !crashed.hasCrashed_) {
        noteConnectionLost(crashed, true);
        noteTargetCrashed(crashed);
    }
    TargetBytes next;
    if (crashed.hasCrashed_)
        next.limit_ = crashed.limit_;
    return next;
}

} // namespace Policy
