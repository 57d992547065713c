#include "CrashNews.h"

#include <algorithm>

namespace Policy {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

Milliseconds ageOf(SteadyTime time, SteadyTime now)
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - time));
}

/// Keeps the youngest \a most of \a items.
template <typename Item>
void keepYoungest(std::vector<Item> &items, std::size_t most)
{
    if (items.size() <= most)
        return;
    std::nth_element(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(most), items.end(),
                     [](const Item &a, const Item &b) {
                         return a.age_ < b.age_;
                     });
    items.resize(most);
}

bool takeRun(CrashBook &book, const ToldRun &told, SteadyTime now)
{
    if (told.age_ > firstQuarantine)
        return false;
    const bool wasChanged = std::exchange(book.isChanged_, false);
    std::vector<RequestPrint> prints;
    const auto count = std::min(told.suspects_.size(), mostSuspects);
    for (std::size_t i = 0; i < count; ++i)
        prints.push_back(told.suspects_[i].print_);
    noteEnded(book, told.run_, prints, now);
    bool isNews = std::exchange(book.isChanged_, wasChanged);
    const auto found = book.runs_.find(told.run_);
    // It is dropped again if the records are full of younger ones.
    if (found == book.runs_.end())
        return isNews;
    EndedRun &run = found->second;
    run.endedAt_ = std::min(run.endedAt_, now - told.age_);
    for (std::size_t i = 0; i < count; ++i) {
        for (auto &suspect : run.suspects_) {
            const bool isCleared = told.suspects_[i].isCleared_ && !suspect.isCleared_
                                   && suspect.print_ == told.suspects_[i].print_;
            if (!isCleared)
                continue;
            suspect.isCleared_ = true;
            run.changedAt_ = now;
            isNews = true;
        }
    }
    book.isChanged_ |= isNews;
    return isNews;
}

bool takeQuarantine(CrashBook &book, const ToldQuarantine &told, SteadyTime now)
{
    const auto since = now - std::clamp(told.age_, Milliseconds(0), longestQuarantine);
    const auto [found, isNew] = book.quarantines_.try_emplace(told.print_);
    Quarantine &held = found->second;
    bool isNews = isNew || told.generation_ > held.generation_;
    if (isNews) {
        held.generation_ = told.generation_;
        held.since_ = since;
    } else if (told.generation_ == held.generation_) {
        held.since_ = std::min(held.since_, since);
    }
    if (told.lifted_ > held.lifted_) {
        isNews = true;
        // The evidence behind the released quarantine must not renew it.
        if (told.lifted_ >= held.generation_)
            liftQuarantine(book, told.print_, now);
        held.lifted_ = told.lifted_;
    }
    book.isChanged_ |= isNews;
    return isNews;
}

} // namespace

CrashNews newsOf(const CrashBook &book, SteadyTime now)
{
    CrashNews news;
    for (const auto &[key, run] : book.runs_) {
        if (now - run.changedAt_ <= runTellTime)
            news.runs_.push_back({key, ageOf(run.endedAt_, now), run.suspects_});
    }
    keepYoungest(news.runs_, mostRunsTold);
    for (const auto &[print, quarantine] : book.quarantines_) {
        news.quarantines_.push_back(
            {print, quarantine.generation_, quarantine.lifted_, ageOf(quarantine.since_, now)});
    }
    keepYoungest(news.quarantines_, mostQuarantinesTold);
    return news;
}

bool takeIn(CrashBook &book, const CrashNews &news, SteadyTime now)
{
    bool isNews = false;
    const auto runs = std::min(news.runs_.size(), mostRunsTold);
    for (std::size_t i = 0; i < runs; ++i)
        isNews |= takeRun(book, news.runs_[i], now);
    const auto quarantines = std::min(news.quarantines_.size(), mostQuarantinesTold);
    for (std::size_t i = 0; i < quarantines; ++i)
        isNews |= takeQuarantine(book, news.quarantines_[i], now);
    return isNews;
}

} // namespace Policy
