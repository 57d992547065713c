#pragma once

#include "RequestContext.h"

#include <list>

namespace Steering {

/// Lists a request as in progress for the lifetime of this object. Thread safety: none; belongs to
/// the list's thread.
class InProgressEntry
{
public:
    InProgressEntry(std::list<RequestContext *> &requests, RequestContext &request)
        : requestsInProgress_(requests)
        , place_(requests.insert(requests.end(), &request))
    {
    }
    ~InProgressEntry() { requestsInProgress_.erase(place_); }
    InProgressEntry(const InProgressEntry &) = delete;
    InProgressEntry &operator=(const InProgressEntry &) = delete;

private:
    std::list<RequestContext *> &requestsInProgress_;
    std::list<RequestContext *>::iterator place_;
};

} // namespace Steering
