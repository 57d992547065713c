#include "FairQueue.h"

#include <algorithm>

namespace Policy {

namespace {

/// Removes a caller without waiting requests, so that the map holds active callers only. The caller
/// gains nothing by this: when it returns, its virtual time starts at the class's clock.
void dropIfEmpty(ClassQueue &classQueue, const Model::CallerId &caller)
{
    const auto found = classQueue.callers_.find(caller);
    if (found != classQueue.callers_.end() && found->second.waiters_.empty())
        classQueue.callers_.erase(found);
}

void countOneOut(FairQueue &queue, ClassQueue &classQueue)
{
    --classQueue.size_;
    --queue.size_;
}

double backlogFor(std::size_t waiting, double weight)
{
    return static_cast<double>(waiting) / weight;
}

std::size_t waitingOf(const FairQueue &queue, const Model::CallerClassId &callerClass,
                      const Model::CallerId &caller)
{
    const auto classQueue = queue.classes_.find(callerClass);
    if (classQueue == queue.classes_.end())
        return 0;
    const auto callerQueue = classQueue->second.callers_.find(caller);
    return callerQueue == classQueue->second.callers_.end() ? 0
                                                            : callerQueue->second.waiters_.size();
}

} // namespace

void enqueue(FairQueue &queue, const Model::CallerClass &callerClass, const Model::CallerId &caller,
             Waiter waiter)
{
    ClassQueue &classQueue = queue.classes_[callerClass.id_];
    classQueue.weight_ = callerClass.weight_.value();
    classQueue.useLimit_ = callerClass.useLimit_.value();
    if (classQueue.size_ == 0)
        classQueue.virtualTime_ = std::max(classQueue.virtualTime_, queue.classClock_);

    CallerQueue &callerQueue = classQueue.callers_[caller];
    if (callerQueue.waiters_.empty())
        callerQueue.virtualTime_ = std::max(callerQueue.virtualTime_, classQueue.callerClock_);
    callerQueue.waiters_.push_back(waiter);
    ++classQueue.size_;
    ++queue.size_;
}

std::optional<NextWaiter> nextWaiter(const FairQueue &queue, double minUseLimit)
{
    const ClassQueue *bestClass = nullptr;
    NextWaiter next;
    for (const auto &[id, classQueue] : queue.classes_) {
        if (classQueue.size_ == 0 || classQueue.useLimit_ < minUseLimit)
            continue;
        if (bestClass && classQueue.virtualTime_ >= bestClass->virtualTime_)
            continue;
        bestClass = &classQueue;
        next.class_ = id;
        next.useLimit_ = classQueue.useLimit_;
    }
    if (!bestClass)
        return std::nullopt;

    const CallerQueue *bestCaller = nullptr;
    for (const auto &[id, callerQueue] : bestClass->callers_) {
        if (bestCaller && callerQueue.virtualTime_ >= bestCaller->virtualTime_)
            continue;
        bestCaller = &callerQueue;
        next.caller_ = id;
    }
    next.waiter_ = bestCaller->waiters_.front();
    return next;
}

void takeNext(FairQueue &queue, const NextWaiter &next)
{
    ClassQueue &classQueue = queue.classes_[next.class_];
    CallerQueue &callerQueue = classQueue.callers_[next.caller_];
    callerQueue.waiters_.pop_front();
    countOneOut(queue, classQueue);

    queue.classClock_ = std::max(queue.classClock_, classQueue.virtualTime_);
    classQueue.virtualTime_ += 1.0 / classQueue.weight_;
    classQueue.callerClock_ = std::max(classQueue.callerClock_, callerQueue.virtualTime_);
    callerQueue.virtualTime_ += 1.0;
    dropIfEmpty(classQueue, next.caller_);
}

std::optional<WaiterId> displaceFor(FairQueue &queue, const Model::CallerClass &callerClass,
                                    const Model::CallerId &caller)
{
    ClassQueue *largestClass = nullptr;
    Model::CallerId largestCaller;
    double largest
        = backlogFor(waitingOf(queue, callerClass.id_, caller) + 1, callerClass.weight_.value());
    for (auto &[classId, classQueue] : queue.classes_) {
        for (auto &[callerId, callerQueue] : classQueue.callers_) {
            const double backlog = backlogFor(callerQueue.waiters_.size(), classQueue.weight_);
            if (backlog <= largest)
                continue;
            largest = backlog;
            largestClass = &classQueue;
            largestCaller = callerId;
        }
    }
    if (!largestClass)
        return std::nullopt;
    auto &waiters = largestClass->callers_[largestCaller].waiters_;
    const WaiterId displaced = waiters.back().id_;
    waiters.pop_back();
    countOneOut(queue, *largestClass);
    dropIfEmpty(*largestClass, largestCaller);
    return displaced;
}

std::optional<WaiterId> takeExpired(FairQueue &queue, Model::SteadyTime now)
{
    for (auto &[classId, classQueue] : queue.classes_) {
        for (auto &[callerId, callerQueue] : classQueue.callers_) {
            auto &waiters = callerQueue.waiters_;
            const auto expired = std::find_if(waiters.begin(), waiters.end(), [now](const auto &w) {
                return w.startBy_ <= now;
            });
            if (expired == waiters.end())
                continue;
            const WaiterId id = expired->id_;
            waiters.erase(expired);
            countOneOut(queue, classQueue);
            const Model::CallerId caller = callerId;
            dropIfEmpty(classQueue, caller);
            return id;
        }
    }
    return std::nullopt;
}

} // namespace Policy
