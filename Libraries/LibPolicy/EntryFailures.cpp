#include "EntryFailures.h"

namespace Policy {

void noteEntryLost(EntryFailures &failures, const Model::Address &address, Model::SteadyTime now)
{
    failures.notBefore_[address] = now + lostEntryProbeInterval;
}

void noteEntryAnswered(EntryFailures &failures, const Model::Address &address)
{
    failures.notBefore_.erase(address);
}

std::optional<std::size_t> chooseEntry(EntryFailures &failures,
                                       const std::vector<Model::Instance> &entries,
                                       std::uint64_t draw, Model::SteadyTime now)
{
    std::vector<std::size_t> usable;
    std::optional<std::size_t> due;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto lost = failures.notBefore_.find(entries[i].addresses_.entryPeer_);
        if (lost == failures.notBefore_.end()) {
            usable.push_back(i);
        } else if (lost->second <= now) {
            due = i;
        }
    }
    if (!usable.empty())
        return usable[draw % usable.size()];
    if (due)
        noteEntryLost(failures, entries[*due].addresses_.entryPeer_, now);
    return due;
}

} // namespace Policy
