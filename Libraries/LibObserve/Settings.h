#pragma once

#include <LibModel/LibModel.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Observe {

/// The binaries that read a setting.
enum class SettingUse {
    /// The three daemons of an instance in the project's own deployment.
    Daemons,
    /// The single process of an instance on a platform that provides small instances.
    OneProcess,
    Both,
};

/// The settings that the processes of an instance read from its settings file.
struct Settings
{
    Model::InstanceId instance_;
    Model::RegionId region_;
    Model::FailureDomainId domain_;

    Model::InstanceAddresses addresses_;
    /// For connections from the instance's own processes only.
    Model::Address controlLocal_;
    Model::Address entryAdmin_;
    Model::Address lookupAdmin_;

    /// What the process may use; quantities that are not given are zero.
    Model::InstanceSize size_;

    Model::Address platform_;
    Model::Milliseconds platformTimeout_{0};
    std::vector<Model::Address> seeds_;

    /// SettingUse::OneProcess: reports whether the instance accepts callers' requests.
    Model::Address ready_;
    /// SettingUse::OneProcess: metrics and status.
    Model::Address admin_;
    /// SettingUse::OneProcess: the platform's guarantees and requirements, in its own terms.
    std::string platformTerms_;
    /// SettingUse::OneProcess: each failure domain with its region.
    std::vector<std::pair<Model::FailureDomainId, Model::RegionId>> domains_;

    int entryThreads_ = 1;
    std::size_t headLimitBytes_ = 0;
    std::size_t bodyLimitBytes_ = 0;
    Model::Milliseconds idleTimeout_{0};
    Model::Milliseconds requestTimeout_{0};

    /// Requests that find no room at a target wait at the instance.
    bool waitsForRoom_ = false;

    int lookupThreads_ = 1;
    Model::Milliseconds lookupTimeToLive_{0};
    int lookupEntries_ = 0;

    Model::Milliseconds gossipPeriod_{0};
    int gossipPeers_ = 0;
    double fleetStoreReadsPerSecond_ = 0;

    /// The address to connect to for an advertised address, for networks with address translation.
    std::map<Model::Address, Model::Address> dial_;
};

/// A line of docs/settings.md: a key, its allowed values and its default.
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

/// Returns the known settings in display order. Thread safety: any thread.
const std::vector<SettingInfo> &settingInfos();

/// The result of a check of a settings file, with one text for each mistake.
struct SettingsCheck
{
    std::optional<Settings> settings_;
    std::vector<std::string> mistakes_;
};

/// Parses and checks a whole settings text for the binaries \a use. Either `settings_` is set or
/// `mistakes_` lists every mistake. Thread safety: any thread.
SettingsCheck settingsFromText(const std::string &text, SettingUse use = SettingUse::Daemons);

/// Like settingsFromText(), for the file at \a path. Thread safety: any thread.
SettingsCheck settingsFromFile(const std::string &path, SettingUse use = SettingUse::Daemons);

/// Returns the address to connect to in order to reach \a address. Thread safety: any thread.
Model::Address dialAddress(const Settings &settings, const Model::Address &address);

} // namespace Observe
