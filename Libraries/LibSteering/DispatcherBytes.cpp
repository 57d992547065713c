#include "Dispatcher.h"
#include "HeldAttempt.h"

namespace Steering {

using Model::Microseconds;
using Model::ResultCode;

void Dispatcher::setHeldBytes(std::optional<Policy::Bytes> limit,
                              std::function<std::size_t()> bytesForCallers)
{
    held_->limit_ = limit;
    bytesForCallers_ = std::move(bytesForCallers);
}

const Policy::HeldBytes &Dispatcher::heldBytes()
{
    if (bytesForCallers_)
        held_->forCallers_ = Policy::Bytes(static_cast<std::int64_t>(bytesForCallers_()));
    return *held_;
}

void Dispatcher::noteRefusedUnread(ResultCode code)
{
    ++counters_.requests_;
    ++counters_.refused_;
    ++counters_.byCode_[code];
    log_.line(Observe::Event::RequestRefused)
        .add("code", static_cast<std::int64_t>(Model::number(code)))
        .add("held_bytes", totalOf(heldBytes()).value());
}

/// Returns the refusal of a request whose sending would exceed the instance's bound, or
/// std::nullopt if it may be sent.
std::optional<Refusal> Dispatcher::checkHeldBytes(const RequestContext &request)
{
    const ResultCode code = Policy::verdictOnSending(heldBytes());
    if (code == ResultCode::Ok)
        return std::nullopt;
    const auto comeBack
        = Policy::refusalRetryDelay(Microseconds(0), request.route_->latencyGoal_, 0.5);
    return Refusal{code, comeBack, Microseconds(0)};
}

/// Returns what an exchange asks before it keeps a part of its answer. \a held must outlive the
/// exchange.
std::function<bool(std::size_t, Http::AnswerLength)> Dispatcher::answerHolder(HeldAttempt &held)
{
    return [this, &held](std::size_t more, Http::AnswerLength length) {
        heldBytes();
        return held.holdAnswer(more, length);
    };
}

/// Returns whether \a target takes a body of \a body bytes more; if not, its turn to be probed is
/// given back.
bool Dispatcher::mayHoldAt(TargetState &target, std::size_t body)
{
    const Policy::Bytes bytes(static_cast<std::int64_t>(body));
    if (!held_->limit_ || Policy::verdictOnTarget(target.bytes_, bytes) == ResultCode::Ok)
        return true;
    target.reachability_.isProbed_ = false;
    Policy::releaseTrial(target.rejections_);
    return false;
}

} // namespace Steering
