#pragma once

#include <LibModel/LibModel.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Observe {

/// Which binaries read a setting.
enum class SettingUse {
    /// The three daemons of an instance of the project's own installation.
    Daemons,
    /// The one process of an instance on a platform that hands out small instances.
    OneProcess,
    Both,
};

/// Everything that the processes of one instance read from its settings file.
struct Settings
{
    Model::InstanceId instance_;
    Model::RegionId region_;
    Model::FailureDomainId domain_;

    Model::InstanceAddresses addresses_;
    /// Only the instance's own processes connect here.
    Model::Address controlLocal_;
    Model::Address entryAdmin_;
    Model::Address lookupAdmin_;

    Model::Address platform_;
    Model::Milliseconds platformTimeout_{0};
    std::vector<Model::Address> seeds_;

    /// One process only: tells whether the instance takes callers' requests.
    Model::Address ready_;
    /// One process only: metrics and status.
    Model::Address admin_;
    /// One process only: what the platform promises and asks, in its own words.
    std::string platformTerms_;
    /// One process only: each failure domain with its region.
    std::vector<std::pair<Model::FailureDomainId, Model::RegionId>> domains_;

    int entryThreads_ = 1;
    std::size_t headLimitBytes_ = 0;
    std::size_t bodyLimitBytes_ = 0;
    Model::Milliseconds idleTimeout_{0};
    Model::Milliseconds requestTimeout_{0};

    int lookupThreads_ = 1;
    Model::Milliseconds lookupTimeToLive_{0};
    int lookupEntries_ = 0;

    Model::Milliseconds gossipPeriod_{0};
    int gossipPeers_ = 0;
    double fleetStoreReadsPerSecond_ = 0;

    /// Where an address is reached in fact, for networks that translate addresses.
    std::map<Model::Address, Model::Address> dial_;
};

/// One line of docs/settings.md: a key, what it may hold and what holds if it is not given.
struct SettingInfo
{
    std::string_view section_;
    std::string_view key_;
    std::string_view default_;
    bool required_ = false;
    SettingUse use_ = SettingUse::Daemons;
    std::string_view allowed_;
    std::string_view meaning_;
};

/// Returns the known settings in the order in which they are shown. Thread safety: any thread.
const std::vector<SettingInfo> &settingInfos();

/// What is wrong with a settings file, one text for each mistake.
struct SettingsCheck
{
    std::optional<Settings> settings_;
    std::vector<std::string> mistakes_;
};

/// Reads and checks a whole settings text for the binaries \a use. Either `settings_` is set or
/// `mistakes_` lists every mistake at once. Thread safety: any thread.
SettingsCheck settingsFromText(const std::string &text, SettingUse use = SettingUse::Daemons);

/// As settingsFromText(), for the file at \a path. Thread safety: any thread.
SettingsCheck settingsFromFile(const std::string &path, SettingUse use = SettingUse::Daemons);

/// Returns where to connect to in order to reach \a address. Thread safety: any thread.
Model::Address dialAddress(const Settings &settings, const Model::Address &address);

} // namespace Observe
