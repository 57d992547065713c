#include "Gossip.h"

#include <map>
#include <tuple>

namespace Peers {

namespace {

template <typename Message>
void appendMarks(const Policy::LeavingMarks &marks, Message &message)
{
    for (const auto &[target, incarnation] : marks.marks_) {
        auto *mark = message.add_marks();
        mark->set_target(target.value());
        mark->set_incarnation(incarnation.value());
    }
}

template <typename Message>
bool mergeMarks(Policy::LeavingMarks &marks, const Message &message)
{
    bool isChanged = false;
    for (const auto &mark : message.marks()) {
        isChanged |= Policy::markLeaving(marks, Model::TargetId(mark.target()),
                                         Model::Incarnation(mark.incarnation()));
    }
    return isChanged;
}

bool isSameRegion(const GossipState &state, const Model::RegionId &region)
{
    return state.self_.instance_.region_ == region;
}

/// Stores a record of the local region; other regions are known through their summaries.
bool mergeRecord(GossipState &state, const cassiacrank::InstanceRecord &message,
                 Model::SteadyTime now)
{
    const auto record = fromMessage(message);
    if (!record || !isSameRegion(state, record->instance_.region_))
        return false;
    if (record->instance_.id_ == state.self_.instance_.id_)
        return false;
    return mergeIfNewer(state.members_, *record, now);
}

void appendNewerRecords(const GossipState &state, const cassiacrank::PullRequest &request,
                        cassiacrank::PullAnswer &answer)
{
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> known;
    for (const auto &digest : request.records())
        known[digest.id()] = {digest.incarnation(), digest.heartbeat()};
    const auto appendIfNewer = [&](const InstanceRecord &record) {
        const std::pair current(record.incarnation_.value(), record.heartbeat_);
        const auto found = known.find(record.instance_.id_.value());
        if (found == known.end() || found->second < current)
            *answer.add_records() = toMessage(record);
    };
    for (const auto &[id, member] : state.members_.members_)
        appendIfNewer(member.record_);
    appendIfNewer(state.self_);
}

Model::Milliseconds ageOf(const Members &members, const Model::RegionId &region,
                          Model::SteadyTime now)
{
    const auto madeAtLocally = members.summaryMadeAt_.find(region);
    if (madeAtLocally == members.summaryMadeAt_.end())
        return Model::Milliseconds(0);
    return std::chrono::duration_cast<Model::Milliseconds>(now - madeAtLocally->second);
}

void appendNewerSummaries(const GossipState &state, const cassiacrank::PullRequest &request,
                          cassiacrank::PullAnswer &answer, Model::SteadyTime now)
{
    std::map<std::string, long long> known;
    for (const auto &digest : request.summaries())
        known[digest.region()] = digest.made_at_ms();
    for (const auto &[region, summary] : state.members_.summaries_) {
        const auto found = known.find(region.value());
        const long long madeAt = summary.madeAt_.time_since_epoch().count();
        if (found != known.end() && found->second >= madeAt)
            continue;
        auto *message = answer.add_summaries();
        *message = toMessage(summary);
        message->set_age_ms(ageOf(state.members_, region, now).count());
    }
}

} // namespace

cassiacrank::PullRequest makePull(const GossipState &state, bool isSameRegion,
                                  Model::SteadyTime now)
{
    cassiacrank::PullRequest request;
    *request.mutable_crashes() = toMessage(Policy::crashUpdateFrom(state.crashes_, now));
    *request.mutable_sender() = toMessage(state.self_);
    request.set_table_version(state.table_.version_.value());
    for (const auto &[region, summary] : state.members_.summaries_) {
        auto *digest = request.add_summaries();
        digest->set_region(region.value());
        digest->set_made_at_ms(summary.madeAt_.time_since_epoch().count());
    }
    if (!isSameRegion)
        return request;
    appendMarks(state.members_.marks_, request);
    for (const auto &[id, member] : state.members_.members_) {
        auto *digest = request.add_records();
        digest->set_id(id.value());
        digest->set_incarnation(member.record_.incarnation_.value());
        digest->set_heartbeat(member.record_.heartbeat_);
    }
    return request;
}

cassiacrank::PullAnswer answerPull(GossipState &state, const cassiacrank::PullRequest &request,
                                   Model::SteadyTime now)
{
    mergeRecord(state, request.sender(), now);
    Policy::takeIn(state.crashes_, fromMessage(request.crashes()), now);
    cassiacrank::PullAnswer answer;
    *answer.mutable_crashes() = toMessage(Policy::crashUpdateFrom(state.crashes_, now));
    *answer.mutable_responder() = toMessage(state.self_.instance_);
    answer.set_responder_ready(state.self_.isReady_);
    answer.set_table_version(state.table_.version_.value());
    const Model::TableVersion peerVersion(request.table_version());
    if (Policy::mayApply(peerVersion, state.table_.version_))
        *answer.mutable_delta() = toMessage(Platform::deltaSince(state.table_, peerVersion));
    appendNewerSummaries(state, request, answer, now);
    if (!isSameRegion(state, Model::RegionId(request.sender().instance().region())))
        return answer;
    mergeMarks(state.members_.marks_, request);
    appendMarks(state.members_.marks_, answer);
    appendNewerRecords(state, request, answer);
    return answer;
}

PullResult mergePullAnswer(GossipState &state, const cassiacrank::PullAnswer &answer,
                           Model::SteadyTime now)
{
    PullResult result;
    result.responder_ = fromMessage(answer.responder());
    result.responderIsReady_ = answer.responder_ready();
    result.responderVersion_ = Model::TableVersion(answer.table_version());
    if (answer.has_delta()) {
        const auto delta = fromMessage(answer.delta());
        result.tableChanged_ = delta && Platform::applyDelta(state.table_, *delta);
    }
    for (const auto &record : answer.records())
        result.liveChanged_ |= mergeRecord(state, record, now);
    for (const auto &message : answer.summaries()) {
        const auto summary = fromMessage(message);
        if (!summary)
            continue;
        if (isSameRegion(state, summary->region_)) {
            // An expired summary of failed entries needs no protection from a new entry's summary.
            result.localRegionHasSummary_ |= summary->age_ <= summaryLifetime;
            continue;
        }
        result.liveChanged_ |= mergeIfNewer(state.members_, *summary, now);
    }
    result.liveChanged_ |= mergeMarks(state.members_.marks_, answer);
    Policy::takeIn(state.crashes_, fromMessage(answer.crashes()), now);
    return result;
}

} // namespace Peers
