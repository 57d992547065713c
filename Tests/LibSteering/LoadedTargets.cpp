#include "LoadedTargets.h"

#include <deque>
#include <functional>

namespace Fakes {

using Model::Milliseconds;
using Model::SteadyTime;
using Steering::Placement;
using Steering::TargetState;

namespace {

struct Work
{
    std::size_t request_ = 0;
    std::size_t entry_ = 0;
    Placement placement_;
    Steering::RequestContext requestContext_;
    SteadyTime sentAt_;
    std::list<Steering::SentRequest>::iterator sent_;
};

struct FakeTarget
{
    std::int64_t slots_ = 1;
    std::int64_t running_ = 0;
    std::deque<Work> waiting_;
    /// The loaded objects, most recently used first.
    std::list<std::uint64_t> objects_;
    std::string region_;

    /// Loads an object, and returns whether it was already loaded.
    bool use(std::uint64_t object, std::size_t capacity)
    {
        const bool wasThere = std::erase(objects_, object) > 0;
        objects_.push_front(object);
        if (objects_.size() > capacity)
            objects_.pop_back();
        return wasThere;
    }
};

class Simulation
{
public:
    Simulation(std::vector<InstanceFixture *> entries,
               const std::vector<SimulatedRequest> &requests, const WorkModel &model)
        : entries_(std::move(entries))
        , requests_(requests)
        , model_(model)
        , results_(requests.size())
        , start_(entries_.front()->now_)
    {
        for (const auto &[id, state] : entries_.front()->targetRegistry_.all()) {
            FakeTarget &target = targets_[id.value()];
            target.slots_ = state->record_.slots_.value();
            target.region_ = state->record_.domain_.value().substr(0, 1);
        }
    }

    std::vector<SimulatedResult> run()
    {
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            at(start_ + requests_[i].at_, [this, i] {
                arrive(i);
            });
        }
        if (model_.loadExchangeInterval_.count() > 0 && !requests_.empty()) {
            for (auto time = model_.loadExchangeInterval_; time < requests_.back().at_;
                 time += model_.loadExchangeInterval_) {
                at(start_ + time, [this] {
                    exchangeLoads();
                });
            }
        }
        while (!events_.empty()) {
            now_ = events_.begin()->first;
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        return results_;
    }

private:
    void at(SteadyTime time, std::function<void()> event)
    {
        events_.emplace(time, std::move(event));
    }

    Milliseconds delayTo(std::size_t entry, const FakeTarget &target) const
    {
        const bool isNear = entries_[entry]->settings_.region_.value() == target.region_;
        return isNear ? Milliseconds(1) : model_.interRegionDelay_;
    }

    void arrive(std::size_t number)
    {
        const SimulatedRequest &request = requests_[number];
        InstanceFixture &instance = *entries_[request.entry_];
        instance.now_ = now_;
        Work work;
        work.request_ = number;
        work.entry_ = request.entry_;
        work.requestContext_ = requestContext(instance, request.route_, request.object_);
        const auto placed = instance.placementEngine_.place(work.requestContext_, now_);
        const auto *placement = std::get_if<Placement>(&placed);
        if (!placement) {
            results_[number].isRefused_ = true;
            return;
        }
        work.placement_ = *placement;
        work.sentAt_ = now_;
        TargetState &state = *placement->target_;
        ++state.ownInFlight_;
        work.sent_ = state.sentRequests_.insert(state.sentRequests_.end(),
                                                {now_, placement->maxUsualLatency_});
        const std::string id = state.record_.id_.value();
        results_[number].target_ = id;
        if (model_.unresponsive_.contains(id)) {
            at(work.requestContext_.deadline_, [this, work] {
                loseAnswer(work);
            });
            return;
        }
        at(now_ + delayTo(work.entry_, targets_[id]), [this, work, id] {
            targets_[id].waiting_.push_back(work);
            startWaiting(id);
        });
    }

    void startWaiting(const std::string &id)
    {
        FakeTarget &target = targets_[id];
        while (target.running_ < target.slots_ && !target.waiting_.empty()) {
            const Work work = target.waiting_.front();
            target.waiting_.pop_front();
            ++target.running_;
            const bool isWarm = target.use(work.requestContext_.object_, model_.objectCapacity_);
            const auto slowness = model_.slowness_.find(id);
            const double factor = slowness == model_.slowness_.end() ? 1 : slowness->second;
            const auto whole = isWarm ? model_.warm_ : model_.cold_;
            const Milliseconds time(static_cast<long long>(whole.count() * factor));
            at(now_ + time, [this, work, id] {
                FakeTarget &done = targets_[id];
                --done.running_;
                const auto inFlight
                    = done.running_ + static_cast<std::int64_t>(done.waiting_.size());
                startWaiting(id);
                at(now_ + delayTo(work.entry_, done), [this, work, inFlight] {
                    answer(work, inFlight);
                });
            });
        }
    }

    void release(const Work &work)
    {
        TargetState &state = *work.placement_.target_;
        --state.ownInFlight_;
        state.sentRequests_.erase(work.sent_);
    }

    void answer(const Work &work, std::int64_t inFlight)
    {
        release(work);
        TargetState &state = *work.placement_.target_;
        const std::int64_t others = inFlight - state.ownInFlight_;
        Policy::learnPeerReportedLoad(state.othersLoad_, std::max<double>(0, double(others)), now_);
        Policy::learnLoad(state.sharedLoad_, double(inFlight), state.record_.slots_, now_);
        const auto took = now_ - work.sentAt_;
        results_[work.request_].took_ = std::chrono::duration_cast<Milliseconds>(took);
        entries_[work.entry_]->placementEngine_.noteAnswer(
            work.requestContext_, work.placement_,
            std::chrono::duration_cast<Model::Microseconds>(took), now_);
    }

    void exchangeLoads()
    {
        for (InstanceFixture *instance : entries_) {
            InstanceFixture &other = *entries_[random_() % entries_.size()];
            other.targetRegistry_.receiveLoads(instance->targetRegistry_.loadsToSend(now_), now_);
            instance->targetRegistry_.receiveLoads(other.targetRegistry_.loadsToSend(now_), now_);
        }
    }

    void loseAnswer(const Work &work)
    {
        release(work);
        results_[work.request_].isLost_ = true;
        entries_[work.entry_]->placementEngine_.noteNoAnswer(work.placement_, work.sentAt_, true,
                                                             now_);
    }

    std::vector<InstanceFixture *> entries_;
    const std::vector<SimulatedRequest> &requests_;
    const WorkModel &model_;
    std::vector<SimulatedResult> results_;
    std::map<std::string, FakeTarget> targets_;
    std::multimap<SteadyTime, std::function<void()>> events_;
    std::mt19937_64 random_{11};
    SteadyTime start_;
    SteadyTime now_;
};

} // namespace

std::vector<SimulatedResult> simulate(std::vector<InstanceFixture *> entries,
                                      const std::vector<SimulatedRequest> &requests,
                                      const WorkModel &model)
{
    return Simulation(std::move(entries), requests, model).run();
}

double servedWithin(const std::vector<SimulatedResult> &results, std::size_t first,
                    std::size_t last, Milliseconds goal)
{
    double served = 0;
    for (std::size_t i = first; i < last; ++i) {
        const auto &result = results[i];
        served += !result.isRefused_ && !result.isLost_ && result.took_ <= goal ? 1 : 0;
    }
    return served / static_cast<double>(last - first);
}

} // namespace Fakes
