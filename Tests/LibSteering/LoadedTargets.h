#pragma once

#include "FakePlatform.h"

#include <list>
#include <map>
#include <queue>
#include <set>
#include <vector>

namespace Fakes {

/// How targets work: an object that a target has handled before takes the warm time.
struct WorkModel
{
    Model::Milliseconds warm_{144};
    Model::Milliseconds cold_{480};
    /// Objects that a target keeps; the one that was used least recently goes first.
    std::size_t keeps_ = 1000000;
    /// One way, between regions.
    Model::Milliseconds farDelay_{55};
    /// Targets that answer nothing from a moment on, and targets that take several times as long.
    std::set<std::string> dark_;
    std::map<std::string, double> slowness_;
    /// How often each entry and another one tell each other which targets are full; never, if zero.
    Model::Milliseconds newsPause_{0};
};

/// One caller's request in a played load.
struct PlayedRequest
{
    Model::Milliseconds at_{0};
    /// Index of the entry that it comes to.
    std::size_t entry_ = 0;
    std::string route_ = "read";
    std::uint64_t object_ = 0;
};

/// What became of it.
struct PlayedResult
{
    std::string target_;
    bool isRefused_ = false;
    /// Nothing came back.
    bool isLost_ = false;
    Model::Milliseconds took_{0};
};

/// Plays requests against targets with slots and queues, through the decisions of real Placers, one
/// for each entry, without a network: events in the order of their times.
std::vector<PlayedResult> play(std::vector<Brain *> entries,
                               const std::vector<PlayedRequest> &requests, const WorkModel &model);

/// The part of results from \a first to \a last that were answered within \a goal.
double servedWithin(const std::vector<PlayedResult> &results, std::size_t first, std::size_t last,
                    Model::Milliseconds goal);

} // namespace Fakes
