#include "TargetPause.h"

namespace Policy {

namespace {

constexpr unsigned tooManyRequests = 429;
constexpr unsigned serviceUnavailable = 503;

} // namespace

bool mayAskForPause(unsigned status, bool isNotRun)
{
    return status == serviceUnavailable || (status == tooManyRequests && isNotRun);
}

} // namespace Policy
