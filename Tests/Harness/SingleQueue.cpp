#include "SingleQueue.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace Harness {

std::vector<double> singleQueueWaits(std::vector<double> arrivals, int slots, double serviceTime)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (int i = 0; i < slots; ++i)
        freeAt.push(0);
    std::vector<double> waits;
    for (double arrival : arrivals) {
        const double start = std::max(arrival, freeAt.top());
        freeAt.pop();
        freeAt.push(start + serviceTime);
        waits.push_back(start - arrival);
    }
    return waits;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * fraction + 0.5)];
}

} // namespace Harness
