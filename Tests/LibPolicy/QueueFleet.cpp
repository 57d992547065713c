#include "QueueFleet.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

namespace Fakes {

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime origin{std::chrono::hours(1)};
constexpr Model::Slots initialBound{9};

enum class Step { Arrives, Ends, Ticks };

struct Event
{
    SteadyTime at_;
    std::uint64_t order_ = 0;
    Step step_ = Step::Arrives;
    std::size_t instance_ = 0;
    std::size_t request_ = 0;

    bool operator>(const Event &other) const
    {
        return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
    }
};

/// The state of one instance; ids in its queue are indexes of requests plus one.
struct QueueInstance
{
    Policy::WaitingQueue queue_;
    Policy::ReturnSchedule schedule_;
    Policy::DrainRate drain_;
    std::size_t inProgress_ = 0;
};

class Fleet
{
public:
    Fleet(const FleetModel &model, Waiting waiting, std::vector<Arrival> arrivals,
          std::uint64_t seed)
        : model_(model)
        , waiting_(waiting)
        , free_(model.slots_)
        , instances_(model.instances_)
        , random_(seed)
    {
        std::uniform_int_distribution<std::size_t> instance(0, model.instances_ - 1);
        for (const auto &arrival : arrivals) {
            add(origin + arrival.at_, Step::Arrives, instance(random_), result_.requests_.size());
            result_.requests_.push_back({arrival, false, false, false, Microseconds(0)});
            const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
            work_.push_back(
                Microseconds(static_cast<long long>(factor * Model::inSeconds(model.work_) * 1e6)));
        }
        tries_.resize(arrivals.size());
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            instances_[i].drain_.windowStart_ = origin;
            const Microseconds period = Policy::tickPeriod;
            add(origin + period * static_cast<int>(i) / static_cast<int>(instances_.size()),
                Step::Ticks, i, 0);
        }
    }

    FleetResult run()
    {
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at_;
            if (event.step_ == Step::Arrives) {
                --pending_;
                arrive(event.instance_, event.request_);
            } else if (event.step_ == Step::Ends) {
                --pending_;
                end(event.instance_, event.request_);
            } else if (pending_ > 0) {
                serve(event.instance_);
                add(now_ + Policy::tickPeriod, Step::Ticks, event.instance_, 0);
            }
        }
        return std::move(result_);
    }

private:
    void add(SteadyTime at, Step step, std::size_t instance, std::size_t request)
    {
        pending_ += step == Step::Ticks ? 0 : 1;
        events_.push({at, ++order_, step, instance, request});
    }

    SteadyTime arrivedAt(std::size_t request) const
    {
        return origin + result_.requests_[request].arrival_.at_;
    }

    void start(std::size_t instance, std::size_t request)
    {
        --free_;
        ++instances_[instance].inProgress_;
        result_.requests_[request].wasSent_ = true;
        add(now_ + work_[request], Step::Ends, instance, request);
    }

    void end(std::size_t instance, std::size_t request)
    {
        ++free_;
        --instances_[instance].inProgress_;
        Served &served = result_.requests_[request];
        served.isAnswered_ = true;
        served.took_ = std::chrono::duration_cast<Microseconds>(now_ - arrivedAt(request));
        QueueInstance &own = instances_[instance];
        Policy::countFinished(own.drain_, Policy::size(own.queue_) > 0, now_);
        serve(instance);
    }

    void serve(std::size_t instance)
    {
        if (waiting_ == Waiting::Common) {
            while (!common_.empty() && free_ > 0) {
                const std::size_t request = common_.front();
                common_.pop_front();
                // A request that may miss its goal takes no slot.
                if (arrivedAt(request) + model_.goal_ - 3 * model_.work_ / 2 < now_) {
                    result_.requests_[request].isRefused_ = true;
                } else {
                    start(instance, request);
                }
            }
            return;
        }
        auto &queue = instances_[instance].queue_;
        while (const auto expired = Policy::takeExpired(queue, now_))
            refuse(instance, *expired - 1);
        while (mayStart(instance)) {
            const auto id = Policy::next(queue);
            if (!id)
                break;
            Policy::take(queue, *id);
            noteLeft();
            start(instance, *id - 1);
        }
    }

    bool mayStart(std::size_t instance) const
    {
        const auto slots = static_cast<double>(model_.slots_);
        const Policy::RegionSlots region{slots, slots - static_cast<double>(free_),
                                         model_.instances_};
        return free_ > 0 && Policy::mayStart(region, instances_[instance].inProgress_);
    }

    void noteLeft() { result_.emptyAt_ = std::chrono::duration_cast<Milliseconds>(now_ - origin); }

    void arrive(std::size_t instance, std::size_t request)
    {
        ++tries_[request];
        if (waiting_ == Waiting::Common) {
            common_.push_back(request);
            serve(instance);
            return;
        }
        QueueInstance &own = instances_[instance];
        const auto kept = Policy::keepReturn(own.schedule_, request, now_);
        serve(instance);
        if (mayStart(instance)) {
            start(instance, request);
            return;
        }
        const Arrival &arrival = result_.requests_[request].arrival_;
        const SteadyTime deadline = arrivedAt(request) + model_.timeout_;
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - now_);
        Policy::QueueLimits limits;
        limits.bound_
            = Policy::queueBound(own.drain_, Policy::longestWait(model_.goal_, left), initialBound);
        limits.reserved_ = kept ? 0 : Policy::dueReturns(own.schedule_, arrival.rank_, now_);
        limits.drainPerSecond_ = own.drain_.perSecond_;
        Policy::WaitingRequest item;
        item.id_ = request + 1;
        item.rank_ = arrival.rank_;
        item.workspace_ = Model::WorkspaceId(std::to_string(arrival.workspace_));
        item.goalStart_ = arrivedAt(request) + model_.goal_ - model_.work_;
        item.deadlineStart_ = deadline - model_.work_;
        const auto result = Policy::enqueue(own.queue_, item, limits, now_);
        if (result.verdict_ != Policy::QueueVerdict::Waits)
            refuse(instance, request);
        if (result.displaced_)
            refuse(instance, *result.displaced_ - 1);
    }

    void refuse(std::size_t instance, std::size_t request)
    {
        noteLeft();
        const Arrival &arrival = result_.requests_[request].arrival_;
        if (!model_.returnsOnce_ || tries_[request] > 1) {
            result_.requests_[request].isRefused_ = true;
            return;
        }
        QueueInstance &own = instances_[instance];
        Policy::RefusedRequest refused;
        refused.key_ = request;
        refused.rank_ = arrival.rank_;
        refused.timeLeft_
            = std::chrono::duration_cast<Microseconds>(arrivedAt(request) + model_.timeout_ - now_);
        const auto delay
            = Policy::announceReturn(own.schedule_, refused, own.drain_.perSecond_, now_);
        add(now_ + delay, Step::Arrives, instance, request);
        const auto tenth = static_cast<std::size_t>((now_ + delay - origin) / Milliseconds(100));
        if (result_.returnsByTenth_.size() <= tenth)
            result_.returnsByTenth_.resize(tenth + 1);
        ++result_.returnsByTenth_[tenth];
    }

    const FleetModel model_;
    const Waiting waiting_;
    std::size_t free_;
    std::vector<QueueInstance> instances_;
    std::mt19937_64 random_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    /// Arrivals and ends to come; without any, the instances stop ticking.
    std::size_t pending_ = 0;
    std::deque<std::size_t> common_;
    std::vector<Microseconds> work_;
    std::vector<int> tries_;
    SteadyTime now_;
    FleetResult result_;
};

} // namespace

std::vector<Arrival> poisson(double perSecond, Milliseconds first, Milliseconds last, int rank,
                             int workspace, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(perSecond / 1000);
    std::vector<Arrival> arrivals;
    for (double at = static_cast<double>(first.count()) + gap(random);
         at < static_cast<double>(last.count()); at += gap(random))
        arrivals.push_back({Milliseconds(static_cast<long long>(at)), rank, workspace});
    return arrivals;
}

FleetResult simulate(const FleetModel &model, Waiting waiting, std::vector<Arrival> arrivals,
                     std::uint64_t seed)
{
    return Fleet(model, waiting, std::move(arrivals), seed).run();
}

} // namespace Fakes
