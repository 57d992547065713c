#include "CrashGuard.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Steering {

using Model::Milliseconds;
using Model::ResultCode;
using Model::SteadyTime;
using nlohmann::json;
using Observe::Event;
using Policy::RequestPrint;
using Policy::RequestStanding;

namespace {

long long millisecondsOf(Model::WallTime time)
{
    return time.time_since_epoch().count();
}

} // namespace

CrashGuard::CrashGuard(const PlatformPort &port, Observe::DecisionLog &log)
    : port_(port)
    , log_(log)
{
}

std::optional<Refusal> CrashGuard::check(Job &job, SteadyTime now)
{
    if (view_.isEmpty() || !view_.mayHold(headOf(job, port_.headers_)))
        return std::nullopt;
    const auto found = Policy::standingOf(view_, printOf(job, port_.headers_), now);
    Refusal refusal{ResultCode::Quarantined, Policy::comeBackFromTrial, Model::Microseconds(0)};
    switch (found.standing_) {
    case RequestStanding::Free:
        return std::nullopt;
    case RequestStanding::Trial:
        // A retry is still sent: the request may have been lost to a crash that another request
        // caused.
        if (job.isOnTrial_ || job.attempts_ > 0)
            return std::nullopt;
        job.isOnTrial_ = !std::exchange(isTrialHeld_, true);
        if (job.isOnTrial_)
            return std::nullopt;
        break;
    case RequestStanding::Pending:
    case RequestStanding::Quarantined:
        refusal.comeBack_
            = std::chrono::duration_cast<Milliseconds>(found.until_ - now) + Milliseconds(1);
        break;
    }
    ++kept_;
    return refusal;
}

void CrashGuard::release(Job &job)
{
    if (job.isOnTrial_)
        isTrialHeld_ = false;
    job.isOnTrial_ = false;
}

void CrashGuard::remember(Job &job, const std::shared_ptr<TargetState> &kept, SteadyTime now)
{
    TargetState &target = *kept;
    if (std::find(lossy_.begin(), lossy_.end(), kept) == lossy_.end())
        lossy_.push_back(kept);
    if (now - target.lostAt_ > Policy::lossMemory)
        target.lost_.clear();
    target.lostAt_ = now;
    if (target.lost_.size() < Policy::mostSuspects)
        target.lost_.push_back(printOf(job, port_.headers_));
    const auto &message = job.incoming_.message_;
    std::string name(message.method_string());
    name += " " + std::string(message[Http::http::field::host]) + std::string(message.target());
    Policy::remember(names_, printOf(job, port_.headers_), std::move(name));
}

bool CrashGuard::noteLost(Job &job, const std::shared_ptr<TargetState> &kept, SteadyTime now)
{
    TargetState &target = *kept;
    // A leaving target that stops is no crash.
    if (target.record_.isLeaving_ || target.removed_)
        return false;
    remember(job, kept, now);
    if (target.hasEnded_ || target.isReplaced_) {
        noteEnded(target, now);
        return false;
    }
    return !std::exchange(target.isKnockedAt_, true);
}

void CrashGuard::noteBrokenOff(Job &job, const std::shared_ptr<TargetState> &target, SteadyTime now)
{
    if (!target->record_.isLeaving_ && !target->removed_)
        remember(job, target, now);
}

void CrashGuard::noteListening(TargetState &target, Http::Listening listening, SteadyTime now)
{
    target.isKnockedAt_ = false;
    if (listening != Http::Listening::No)
        return;
    noteEnded(target, now);
}

void CrashGuard::noteEnded(TargetState &target, SteadyTime now)
{
    const bool isNew = !std::exchange(target.hasEnded_, true);
    if (target.lost_.empty() || now - target.lostAt_ > Policy::lossMemory)
        return;
    if (isNew) {
        ++endedTargets_;
        log_.line(Event::TargetEnded)
            .add("target", target.record_.id_.value())
            .add("service", target.record_.service_.value())
            .add("in_progress", static_cast<std::int64_t>(target.lost_.size()))
            .add("print", toText(target.lost_.front()));
    }
    Policy::noteEnded(book_, Policy::runKeyOf(target.record_.id_, target.record_.incarnation_),
                      target.lost_, now);
    target.lost_.clear();
}

void CrashGuard::noteAnswered(Job &job, SteadyTime now)
{
    if (view_.isEmpty() || !view_.mayHold(headOf(job, port_.headers_)))
        return;
    const RequestPrint &print = printOf(job, port_.headers_);
    if (Policy::noteAnswered(book_, print, now)) {
        for (const RequestPrint &lifted : {print, RequestPrint{print.request_, 0}}) {
            if (!book_.quarantines_.contains(lifted))
                continue;
            logLifted(lifted, "answer");
            unwritten_.push_back(lifted);
        }
    }
    // Admits requests with the same fingerprint before the next tick.
    if (job.isOnTrial_)
        view_ = Policy::viewOf(book_, now);
}

/// A proxy may keep listening on behalf of a crashed target; a later registration at its address
/// also proves that it ended.
void CrashGuard::findSucceeded(SteadyTime now)
{
    for (const auto &target : lossy_) {
        if (target->isReplaced_ || target->isSucceeded())
            noteEnded(*target, now);
    }
    std::erase_if(lossy_, [&](const auto &target) {
        return target->lost_.empty() || now - target->lostAt_ > Policy::lossMemory;
    });
}

void CrashGuard::judge(SteadyTime now)
{
    findSucceeded(now);
    const bool isDue
        = book_.isChanged_ || !book_.pending_.empty() || now - judgedAt_ > Policy::reviewPause;
    if (!isDue)
        return;
    judgedAt_ = now;
    const bool wasEmpty = book_.runs_.empty() && book_.quarantines_.empty();
    noteVerdicts(Policy::judge(book_, now), now);
    if (!wasEmpty)
        view_ = Policy::viewOf(book_, now);
    book_.isChanged_ = false;
}

void CrashGuard::noteVerdicts(const Policy::Verdicts &verdicts, SteadyTime now)
{
    for (const auto &print : verdicts.quarantined_) {
        ++verdicts_;
        const auto &quarantine = book_.quarantines_.at(print);
        const auto length = Policy::inForceUntil(quarantine) - now;
        log_.line(Event::RequestQuarantined)
            .add("print", toText(print))
            .add("request", Policy::nameOf(names_, print))
            .add("generation", static_cast<std::int64_t>(quarantine.generation_))
            .add("for_ms", std::chrono::duration_cast<Model::Microseconds>(length));
        unwritten_.push_back(print);
    }
    for (const auto &print : verdicts.lifted_) {
        logLifted(print, "another request explains its ends");
        unwritten_.push_back(print);
    }
}

void CrashGuard::logLifted(const RequestPrint &print, const char *by)
{
    log_.line(Event::QuarantineLifted).add("print", toText(print)).add("by", by);
}

void CrashGuard::hear(const Policy::CrashNews &news, bool isPeerReady, SteadyTime now)
{
    isInformed_ = isInformed_ || isPeerReady;
    const auto isInForce = [&](const RequestPrint &print) {
        const auto found = book_.quarantines_.find(print);
        return found != book_.quarantines_.end() && Policy::inForceUntil(found->second) > now;
    };
    std::vector<RequestPrint> before;
    for (const auto &told : news.quarantines_) {
        if (isInForce(told.print_))
            before.push_back(told.print_);
    }
    if (!Policy::takeIn(book_, news, now))
        return;
    bool isVerdict = false;
    for (const auto &told : news.quarantines_) {
        const bool was = std::find(before.begin(), before.end(), told.print_) != before.end();
        const bool is = isInForce(told.print_);
        isVerdict |= was != is;
        if (was && !is)
            logLifted(told.print_, "peer");
        if (!was && is) {
            log_.line(Event::RequestQuarantined)
                .add("print", toText(told.print_))
                .add("request", Policy::nameOf(names_, told.print_))
                .add("by", "peer");
        }
    }
    if (isVerdict)
        judge(now);
}

void CrashGuard::takeRecords(const std::map<std::string, std::string> &records, SteadyTime now,
                             Model::WallTime wallNow)
{
    for (const auto &[key, text] : records) {
        const auto print = Policy::printFromText(key);
        const json record = json::parse(text, nullptr, false);
        try {
            Policy::ToldQuarantine told;
            told.print_ = print.value();
            told.generation_ = record.at("generation").get<std::uint32_t>();
            told.lifted_ = record.at("lifted").get<std::uint32_t>();
            const auto since = record.at("since_ms").get<long long>();
            told.age_ = std::max(Milliseconds(0), Milliseconds(millisecondsOf(wallNow) - since));
            const Policy::Quarantine quarantine{told.generation_, 0, now - told.age_};
            if (Policy::inForceUntil(quarantine) > now) {
                Policy::takeIn(book_, {{}, {told}}, now);
                continue;
            }
        } catch (const std::exception &error) {
            log_.line(Event::QuarantinesUnread).add("print", key).add("reason", error.what());
        }
        if (print)
            unwritten_.push_back(*print);
    }
    isInformed_ = true;
    judge(now);
}

std::vector<QuarantineRecord> CrashGuard::takeUnwritten(SteadyTime now, Model::WallTime wallNow)
{
    std::vector<QuarantineRecord> records;
    for (const auto &print : std::exchange(unwritten_, {})) {
        QuarantineRecord record{print, std::nullopt};
        const auto found = book_.quarantines_.find(print);
        if (found != book_.quarantines_.end() && Policy::inForceUntil(found->second) > now) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - found->second.since_);
            const json text = {{"generation", found->second.generation_},
                               {"lifted", found->second.lifted_},
                               {"since_ms", millisecondsOf(wallNow - age)}};
            record.text_ = text.dump();
        }
        records.push_back(std::move(record));
    }
    return records;
}

std::string CrashGuard::listText(SteadyTime now) const
{
    json quarantined = json::array();
    for (const auto &[print, quarantine] : book_.quarantines_) {
        const auto left = Policy::inForceUntil(quarantine) - now;
        if (left <= SteadyTime::duration(0))
            continue;
        quarantined.push_back(
            {{"print", toText(print)},
             {"request", Policy::nameOf(names_, print)},
             {"generation", quarantine.generation_},
             {"left_ms", std::chrono::duration_cast<Milliseconds>(left).count()}});
    }
    json runs = json::array();
    for (const auto &[key, run] : book_.runs_) {
        json suspects = json::array();
        for (const auto &suspect : run.suspects_) {
            if (!suspect.isCleared_)
                suspects.push_back(toText(suspect.print_));
        }
        const auto age = std::chrono::duration_cast<Milliseconds>(now - run.endedAt_);
        runs.push_back({{"age_ms", age.count()}, {"suspects", std::move(suspects)}});
    }
    const json all = {{"quarantined", std::move(quarantined)}, {"ended", std::move(runs)}};
    return all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

bool CrashGuard::lift(const RequestPrint &print, SteadyTime now)
{
    if (!Policy::liftQuarantine(book_, print, now)) {
        Model::fail(ResultCode::UnknownRow,
                    "no quarantine in force for request fingerprint " + toText(print));
        return false;
    }
    logLifted(print, "operator");
    unwritten_.push_back(print);
    judge(now);
    return true;
}

std::size_t CrashGuard::quarantined(SteadyTime now) const
{
    return static_cast<std::size_t>(
        std::count_if(book_.quarantines_.begin(), book_.quarantines_.end(), [&](const auto &entry) {
            return Policy::inForceUntil(entry.second) > now;
        }));
}

} // namespace Steering
