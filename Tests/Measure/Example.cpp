#include "Example.h"

namespace Measure {

Example exampleOf(const std::string &site)
{
    if (site == "koper")
        return {"gauging", "transfers", "pilot-", "partner-", "customs-", 55, 1, 600, 16};
    return {"booking-desk", "treatment-desk", "family-", "hotel-", "app-", 20, 8, 400, 12};
}

Harness::SiteOptions siteOptions(const std::string &site, const Example &example)
{
    Harness::SiteOptions options;
    options.example_ = site;
    options.meanMs_ = {{example.busy_, serviceMs}, {example.careful_, serviceMs}};
    options.hasProxy_ = true;
    options.delayBetweenDomainsMs_ = 1.5;
    options.delayBetweenRegionsMs_ = example.regionDelayMs_;
    options.coldFactor_ = 2;
    return options;
}

std::string section(const Harness::Site &site, const Example &example, const Stream &stream)
{
    return "[stream " + stream.name_ + "]\nservice = " + stream.service_ + "\ncaller = "
           + stream.callers_ + "\ncallers = 6\nrate = " + std::to_string(stream.rate_)
           + "\norigin = " + stream.region_ + "\nsource = " + site.callerSource(stream.region_)
           + "\ndelay_ms = " + std::to_string(example.callerDelayMs_) + "\n" + stream.extraLines_
           + "\n";
}

std::string mixedLoad(const Harness::Site &site, const Example &example)
{
    constexpr double smallRate = 30;
    const double bulkRate = 0.3 * example.capacity_;
    const double keyedRate = 0.5 * example.carefulSlots_ * 1000 / serviceMs;
    std::string text;
    for (const auto &row : site.table().regions()) {
        const std::string region = row.id_.value();
        text += section(site, example,
                        {"small-" + region, example.busy_, example.small_, smallRate, region, ""});
        text += section(site, example,
                        {"bulk-" + region, example.busy_, example.bulk_, bulkRate, region, ""});
        text += section(site, example,
                        {"keyed-" + region, example.careful_, example.keyed_, keyedRate, region,
                         "post = yes\nkey = yes\nrepeats = 2\ntimeout_ms = 5000\n"});
    }
    return text;
}

} // namespace Measure
