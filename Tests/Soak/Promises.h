#pragma once

#include "Callers.h"
#include "SoakSite.h"

namespace Soak {

/// What callers were told and what targets did, held against what the system promises.
///
/// Thread safety: none.
class Promises
{
public:
    Promises(SoakSite &site, Callers &callers);

    /// Checks what happened since the last call; returns what broke a promise.
    std::vector<std::string> check();
    /// The part of the requests since \a from that a target answered.
    double servedSince(Model::SteadyTime from) const;
    std::size_t requests() const { return records_.size(); }

private:
    void checkAnswer(const Record &record);
    void checkTime(const Record &record);
    void checkRuns();
    void checkLeaving();
    void checkNames();
    void checkEdit();
    void checkEnds();
    bool wasCalm(const Model::Address &entry, Model::SteadyTime from) const;
    bool isBoundBy(const Model::Address &entry, Model::SteadyTime leftAt) const;
    void broken(const std::string &promise, const std::string &what);

    SoakSite &site_;
    Callers &callers_;
    std::vector<Record> records_;
    std::map<std::string, const Record *> byId_;
    /// Requests of which callers were told that they have not run and never will.
    std::vector<std::string> toldNotRun_;
    /// How often a leaving run of a target had run requests when the time to know of it was over.
    std::map<std::string, std::size_t> runsWhenKnown_;
    /// Ends of targets under each request that were looked at, and those that came too late.
    std::map<std::string, std::size_t> endsSeen_;
    std::map<std::string, int> lateEnds_;
    std::string checkedRoute_;
    std::vector<std::string> found_;
};

} // namespace Soak
