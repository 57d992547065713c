#include "Settings.h"

#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <functional>
#include <sstream>

namespace Observe {

namespace {

using Model::ResultCode;

using enum SettingUse;

const std::vector<SettingInfo> infos = {
    {"instance", "id", "", true, Both, "a name", "the instance's name in the platform's list"},
    {"instance", "region", "", true, Both, "a name", "the region in which the instance runs"},
    {"instance", "domain", "", true, Both, "a name",
     "the failure domain in which the instance runs"},
    {"listen", "lookup", "", true, Both, "IP:port", "callers look up an entry here"},
    {"listen", "entry", "", true, Both, "IP:port", "callers send requests here"},
    {"listen", "entry_peer", "", true, Daemons, "IP:port", "other entries forward requests here"},
    {"listen", "control", "", true, Both, "IP:port", "other instances exchange state here"},
    {"listen", "control_local", "", true, Daemons, "IP:port",
     "the instance's own processes connect here"},
    {"listen", "entry_admin", "", true, Daemons, "IP:port", "admin endpoint of entryd"},
    {"listen", "lookup_admin", "", true, Daemons, "IP:port", "admin endpoint of lookupd"},
    {"listen", "control_admin", "", true, Daemons, "IP:port", "admin endpoint of controld"},
    {"listen", "ready", "", true, OneProcess, "IP:port",
     "reports whether callers may be sent here"},
    {"listen", "admin", "", true, OneProcess, "IP:port", "admin endpoint of instanced"},
    {"platform", "terms", "", false, OneProcess, "name=value, ... or a JSON table",
     "the platform's guarantees and requirements, in its own terms"},
    {"site", "domains", "", true, OneProcess, "domain:region, ...",
     "each failure domain with its region"},
    {"platform", "address", "", true, Both, "IP:port",
     "the platform's table service and object store"},
    {"platform", "timeout_ms", "1000", false, Both, "1 to 60000", "longest wait for one answer"},
    {"peers", "seeds", "", false, Both, "IP:port, ...",
     "control addresses of some other instances"},
    {"entry", "threads", "2", false, Daemons, "1 to 64", "threads that serve requests"},
    {"entry", "head_limit_bytes", "16384", false, Daemons, "256 to 1048576",
     "largest head of a request"},
    {"entry", "body_limit_bytes", "1048576", false, Daemons, "0 to 268435456",
     "largest body of a request"},
    {"entry", "idle_timeout_ms", "60000", false, Daemons, "100 to 3600000",
     "how long a connection may stay idle between requests"},
    {"entry", "request_timeout_ms", "10000", false, Daemons, "10 to 600000",
     "how long a request may take to arrive completely"},
    {"limits", "cpu_share", "", false, Both, "0.01 to 64",
     "processor cores that the process may use"},
    {"limits", "memory_mb", "", false, Both, "16 to 1048576", "memory that the process may use"},
    {"limits", "descriptors", "", false, Both, "64 to 1048576",
     "file descriptors that the process may open"},
    {"limits", "link_mbps", "", false, Both, "0.1 to 400000",
     "bandwidth of the instance's link, each way"},
    {"admission", "queue", "off", false, OneProcess, "on or off",
     "whether requests that find no room wait at the instance"},
    {"lookup", "threads", "1", false, Daemons, "1 to 64", "threads that answer look-ups"},
    {"lookup", "ttl_ms", "2000", false, Both, "100 to 60000",
     "how long callers may keep an answer"},
    {"lookup", "entries", "4", false, Daemons, "1 to 64", "entries named in one answer"},
    {"control", "gossip_period_ms", "200", false, Daemons, "10 to 60000",
     "time between two gossip rounds"},
    {"control", "gossip_peers", "2", false, Daemons, "1 to 16",
     "peers contacted in one gossip round"},
    {"control", "fleet_store_reads_per_s", "20", false, Daemons, "0.1 to 2000",
     "reads of the store by all instances together"},
};

constexpr std::string_view dialSection = "dial";

/// Extracts values from the parsed file and collects every mistake.
class Reader
{
public:
    Reader(const boost::property_tree::ptree &tree, SettingUse use)
        : tree_(tree)
        , use_(use)
    {
    }

    std::string text(std::string_view section, std::string_view key)
    {
        const SettingInfo &known = info(section, key);
        const auto sectionNode = tree_.find(std::string(section));
        if (sectionNode != tree_.not_found()) {
            const auto node = sectionNode->second.find(std::string(key));
            if (node != sectionNode->second.not_found())
                return node->second.data();
        }
        if (known.required_ && (known.use_ == use_ || known.use_ == Both))
            add(ResultCode::SettingsMissing, known, "");
        return std::string(known.default_);
    }

    std::string name(std::string_view section, std::string_view key)
    {
        const std::string value = text(section, key);
        const bool isAllowed = value.find_first_of(" /\\[]\"'=;%?#,") == std::string::npos;
        if (!isAllowed || (value.empty() && has(section, key)))
            add(ResultCode::SettingsBadValue, info(section, key), value);
        return value;
    }

    Model::Address address(std::string_view section, std::string_view key)
    {
        const std::string value = text(section, key);
        if (value.empty() && !has(section, key))
            return {};
        const auto parsed = Model::addressFromText(value);
        if (!parsed)
            add(ResultCode::SettingsBadValue, info(section, key), value);
        return parsed.value_or(Model::Address());
    }

    std::vector<Model::Address> addresses(std::string_view section, std::string_view key)
    {
        std::vector<Model::Address> result;
        std::istringstream stream(text(section, key));
        for (std::string item; std::getline(stream, item, ',');) {
            item.erase(0, item.find_first_not_of(' '));
            item.erase(item.find_last_not_of(' ') + 1);
            const auto parsed = Model::addressFromText(item);
            if (parsed) {
                result.push_back(*parsed);
            } else {
                add(ResultCode::SettingsBadValue, info(section, key), item);
            }
        }
        return result;
    }

    double number(std::string_view section, std::string_view key, bool isWhole)
    {
        const SettingInfo &known = info(section, key);
        const std::string value = text(section, key);
        double parsed = 0;
        const auto [end, error]
            = std::from_chars(value.data(), value.data() + value.size(), parsed);
        const bool isNumber = error == std::errc() && end == value.data() + value.size();
        double minimum = 0;
        double maximum = 0;
        std::sscanf(std::string(known.allowed_).c_str(), "%lf to %lf", &minimum, &maximum);
        const bool isInRange = isNumber && parsed >= minimum && parsed <= maximum;
        const bool isFraction = isWhole && isInRange && parsed != static_cast<long long>(parsed);
        if (!isInRange || isFraction)
            add(ResultCode::SettingsBadValue, known, value);
        return parsed;
    }

    /// Returns zero if the setting is not given.
    double optionalNumber(std::string_view section, std::string_view key, bool isWhole)
    {
        return text(section, key).empty() ? 0 : number(section, key, isWhole);
    }

    bool isOn(std::string_view section, std::string_view key)
    {
        const std::string value = text(section, key);
        if (value != "on" && value != "off")
            add(ResultCode::SettingsBadValue, info(section, key), value);
        return value == "on";
    }

    long long whole(std::string_view section, std::string_view key)
    {
        return static_cast<long long>(number(section, key, true));
    }

    Model::Milliseconds milliseconds(std::string_view section, std::string_view key)
    {
        return Model::Milliseconds(whole(section, key));
    }

    std::vector<std::pair<Model::FailureDomainId, Model::RegionId>> domains()
    {
        std::vector<std::pair<Model::FailureDomainId, Model::RegionId>> result;
        std::istringstream stream(text("site", "domains"));
        for (std::string item; std::getline(stream, item, ',');) {
            item.erase(0, item.find_first_not_of(' '));
            item.erase(item.find_last_not_of(' ') + 1);
            const auto colon = item.find(':');
            if (colon == std::string::npos || colon == 0 || colon + 1 == item.size()) {
                add(ResultCode::SettingsBadValue, info("site", "domains"), item);
                continue;
            }
            result.emplace_back(Model::FailureDomainId(item.substr(0, colon)),
                                Model::RegionId(item.substr(colon + 1)));
        }
        return result;
    }

    std::map<Model::Address, Model::Address> dialMap()
    {
        std::map<Model::Address, Model::Address> result;
        const auto section = tree_.find(std::string(dialSection));
        if (section == tree_.not_found())
            return result;
        for (const auto &[from, node] : section->second) {
            const auto key = Model::addressFromText(from);
            const auto value = Model::addressFromText(node.data());
            if (key && value) {
                result[*key] = *value;
            } else {
                mistakes_.push_back("[603] [dial] " + from + " = " + node.data()
                                    + ": allowed: IP:port = IP:port");
            }
        }
        return result;
    }

    void checkUnknown()
    {
        for (const auto &[section, keys] : tree_) {
            if (section == dialSection)
                continue;
            if (keys.empty() && !keys.data().empty())
                mistakes_.push_back("[602] " + section + ": is outside any section");
            for (const auto &[key, value] : keys) {
                if (!isKnown(section, key))
                    mistakes_.push_back("[602] [" + section + "] " + key + ": no such setting");
            }
        }
    }

    std::vector<std::string> takeMistakes() { return std::move(mistakes_); }

private:
    bool has(std::string_view section, std::string_view key) const
    {
        const auto node = tree_.find(std::string(section));
        return node != tree_.not_found()
               && node->second.find(std::string(key)) != node->second.not_found();
    }

    static bool isKnown(std::string_view section, std::string_view key)
    {
        for (const auto &known : infos) {
            if (known.section_ == section && known.key_ == key)
                return true;
        }
        return false;
    }

    static const SettingInfo &info(std::string_view section, std::string_view key)
    {
        for (const auto &known : infos) {
            if (known.section_ == section && known.key_ == key)
                return known;
        }
        return infos.front();
    }

    void add(ResultCode code, const SettingInfo &known, const std::string &value)
    {
        mistakes_.push_back("[" + std::to_string(Model::number(code)) + "] ["
                            + std::string(known.section_) + "] " + std::string(known.key_) + " = '"
                            + value + "': " + std::string(Model::describe(code))
                            + " Allowed: " + std::string(known.allowed_));
    }

    const boost::property_tree::ptree &tree_;
    SettingUse use_;
    std::vector<std::string> mistakes_;
};

void readAddresses(Reader &reader, Settings &settings)
{
    settings.addresses_.lookup_ = reader.address("listen", "lookup");
    settings.addresses_.entry_ = reader.address("listen", "entry");
    settings.addresses_.entryPeer_ = reader.address("listen", "entry_peer");
    settings.addresses_.control_ = reader.address("listen", "control");
    settings.controlLocal_ = reader.address("listen", "control_local");
    settings.entryAdmin_ = reader.address("listen", "entry_admin");
    settings.lookupAdmin_ = reader.address("listen", "lookup_admin");
    settings.ready_ = reader.address("listen", "ready");
    settings.admin_ = reader.address("listen", "admin");
    settings.addresses_.controlAdmin_ = reader.address("listen", "control_admin");
}

Model::InstanceSize sizeIn(Reader &reader)
{
    Model::InstanceSize size;
    size.cpu_ = Model::CpuShare(reader.optionalNumber("limits", "cpu_share", false));
    size.memory_ = Model::Megabytes(
        static_cast<std::int64_t>(reader.optionalNumber("limits", "memory_mb", true)));
    size.descriptors_ = Model::Descriptors(
        static_cast<std::int64_t>(reader.optionalNumber("limits", "descriptors", true)));
    size.link_ = Model::MegabitsPerSecond(reader.optionalNumber("limits", "link_mbps", false));
    return size;
}

void readLimits(Reader &reader, Settings &settings)
{
    settings.entryThreads_ = static_cast<int>(reader.whole("entry", "threads"));
    settings.headLimitBytes_ = reader.whole("entry", "head_limit_bytes");
    settings.bodyLimitBytes_ = reader.whole("entry", "body_limit_bytes");
    settings.idleTimeout_ = reader.milliseconds("entry", "idle_timeout_ms");
    settings.requestTimeout_ = reader.milliseconds("entry", "request_timeout_ms");
    settings.lookupThreads_ = static_cast<int>(reader.whole("lookup", "threads"));
    settings.lookupTimeToLive_ = reader.milliseconds("lookup", "ttl_ms");
    settings.lookupEntries_ = static_cast<int>(reader.whole("lookup", "entries"));
    settings.gossipPeriod_ = reader.milliseconds("control", "gossip_period_ms");
    settings.gossipPeers_ = static_cast<int>(reader.whole("control", "gossip_peers"));
    settings.fleetStoreReadsPerSecond_ = reader.number("control", "fleet_store_reads_per_s", false);
}

} // namespace

const std::vector<SettingInfo> &settingInfos()
{
    return infos;
}

SettingsCheck settingsFromText(const std::string &text, SettingUse use)
{
    SettingsCheck check;
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        check.mistakes_.push_back("[601] line " + std::to_string(error.line()) + ": "
                                  + error.message());
        return check;
    }

    Reader reader(tree, use);
    Settings settings;
    settings.instance_ = Model::InstanceId(reader.name("instance", "id"));
    settings.region_ = Model::RegionId(reader.name("instance", "region"));
    settings.domain_ = Model::FailureDomainId(reader.name("instance", "domain"));
    readAddresses(reader, settings);
    settings.platform_ = reader.address("platform", "address");
    settings.platformTimeout_ = reader.milliseconds("platform", "timeout_ms");
    settings.seeds_ = reader.addresses("peers", "seeds");
    settings.platformTerms_ = reader.text("platform", "terms");
    settings.domains_ = reader.domains();
    readLimits(reader, settings);
    settings.size_ = sizeIn(reader);
    settings.waitsForRoom_ = reader.isOn("admission", "queue");
    settings.dial_ = reader.dialMap();
    reader.checkUnknown();

    check.mistakes_ = reader.takeMistakes();
    if (check.mistakes_.empty())
        check.settings_ = std::move(settings);
    return check;
}

SettingsCheck settingsFromFile(const std::string &path, SettingUse use)
{
    std::ifstream file(path);
    if (!file) {
        SettingsCheck check;
        check.mistakes_.push_back("[601] '" + path + "' cannot be read");
        return check;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return settingsFromText(text.str(), use);
}

Model::Address dialAddress(const Settings &settings, const Model::Address &address)
{
    const auto found = settings.dial_.find(address);
    return found == settings.dial_.end() ? address : found->second;
}

} // namespace Observe
