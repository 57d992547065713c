#include "Site.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Harness {

using Model::Milliseconds;
using nlohmann::json;

namespace {

constexpr std::uint16_t platformPort = 9000;
constexpr std::uint16_t proxyPort = 7900;
constexpr Milliseconds startTimeout{30000};

std::string executableDirectory()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

void post(const Model::Address &address, const std::string &target, const json &body)
{
    Http::SimpleRequest request;
    request.address_ = address;
    request.method_ = Http::http::verb::post;
    request.target_ = target;
    request.body_ = body.dump();
    request.timeout_ = Milliseconds(5000);
    if (!Http::sendAndWait(request))
        throw std::runtime_error("request failed: no answer from " + toText(address) + target);
}

} // namespace

std::optional<json> getJson(const Model::Address &address, const std::string &target,
                            Milliseconds timeout)
{
    Http::SimpleRequest request;
    request.address_ = address;
    request.target_ = target;
    request.timeout_ = timeout;
    const auto answer = Http::sendAndWait(request);
    if (!answer || answer->result() != Http::http::status::ok)
        return std::nullopt;
    auto parsed = json::parse(answer->body(), nullptr, false);
    if (parsed.is_discarded())
        return std::nullopt;
    return parsed;
}

std::vector<Process *> SiteInstance::processes()
{
    return {entry_.get(), lookup_.get(), control_.get()};
}

Site::Site(SiteOptions options)
    : options_(std::move(options))
{
    if (options_.binaries_.empty())
        options_.binaries_ = executableDirectory();
    reserveNet();
    static int sites = 0;
    const std::string run = std::to_string(getpid()) + "-" + std::to_string(++sites);
    directory_ = executableDirectory() + "/../runs/" + run;
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
    makeTargets();
    makeInstances();
}

Site::~Site()
{
    for (auto &instance : instances_) {
        for (Process *process : instance.processes()) {
            if (process)
                process->kill();
        }
    }
    if (netLock_ >= 0)
        close(netLock_);
}

std::string Site::binary(const std::string &name) const
{
    // Test binaries are always of this version; only the product's binaries can be of another one.
    const bool isTestBinary
        = std::isupper(static_cast<unsigned char>(name.front())) || name == "loadtool";
    return (isTestBinary ? executableDirectory() : options_.binaries_) + "/" + name;
}

std::string Site::write(const std::string &name, const std::string &text) const
{
    const std::string path = directory_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::unique_ptr<Process> Site::makeProcess(const std::string &name,
                                           std::vector<std::string> command) const
{
    return std::make_unique<Process>(name, std::move(command), directory_ + "/" + name + ".log");
}

Model::Address Site::platform() const
{
    return {"127." + std::to_string(net_) + ".0.1", platformPort};
}

std::string Site::callerSource(const std::string &region) const
{
    int number = 101;
    for (const auto &row : table_->regions()) {
        if (row.id_.value() == region)
            return "127." + std::to_string(net_) + "." + std::to_string(number) + ".1";
        ++number;
    }
    throw std::runtime_error("unknown region " + region);
}

SiteInstance &Site::instance(const std::string &id)
{
    for (auto &instance : instances_) {
        if (instance.row_.id_.value() == id)
            return instance;
    }
    throw std::runtime_error("unknown instance " + id);
}

SiteTarget &Site::target(const std::string &id)
{
    for (auto &target : targets_) {
        if (target.row_.id_.value() == id)
            return target;
    }
    throw std::runtime_error("unknown target " + id);
}

void Site::start()
{
    startPlatform();
    for (auto &target : targets_)
        target.process_->start();
    if (options_.hasProxy_)
        startProxy();
    writeInstanceList();
    for (auto &instance : instances_)
        startInstance(instance);
    for (auto &instance : instances_) {
        if (!waitUntilServing(instance, startTimeout)) {
            throw std::runtime_error(instance.row_.id_.value() + " does not serve: "
                                     + instance.control_->log() + instance.entry_->log());
        }
    }
}

void Site::startInstance(SiteInstance &instance)
{
    prepareInstance(instance);
    for (Process *process : instance.processes())
        process->start();
}

void Site::prepareInstance(SiteInstance &instance)
{
    const std::string id = instance.row_.id_.value();
    const std::string settings = "--settings=" + write(id + ".ini", settingsText(instance));
    instance.control_ = makeProcess(id + "-controld", {binary("controld"), settings});
    instance.lookup_ = makeProcess(id + "-lookupd", {binary("lookupd"), settings});
    instance.entry_ = makeProcess(id + "-entryd", {binary("entryd"), settings});
}

bool Site::waitUntilServing(SiteInstance &instance, Milliseconds maxWait)
{
    const Model::Address entryAdmin{instance.host_, 7006};
    return waitUntil(maxWait, [&] {
        const auto status = getJson(entryAdmin, "/status", Milliseconds(500));
        if (!status || !status->value("ready", false))
            return false;
        const std::string service = table_->services().front().id_.value();
        const auto lookup = getJson(instance.row_.addresses_.lookup_,
                                    "/v1/entry?service=" + service, Milliseconds(500));
        // A look-up returns remote entries until it learns that an entry of its region serves.
        const json entries = lookup ? lookup->value("entries", json::array()) : json::array();
        return !entries.empty() && entries[0].at("region") == instance.row_.region_.value();
    });
}

bool Site::stopInstance(SiteInstance &instance, Milliseconds maxWait)
{
    for (Process *process : instance.processes())
        process->signal(SIGTERM);
    bool isClean = true;
    for (Process *process : instance.processes())
        isClean &= process->wait(maxWait) == std::optional<int>(0);
    return isClean;
}

bool Site::replaceAllInstances(Milliseconds maxWait)
{
    bool isClean = true;
    for (const char *number : {"-1", "-2"}) {
        std::vector<SiteInstance *> group;
        for (auto &instance : instances_) {
            if (instance.row_.id_.value().ends_with(number))
                group.push_back(&instance);
        }
        for (auto *instance : group) {
            for (auto *process : instance->processes())
                process->signal(SIGTERM);
        }
        for (auto *instance : group) {
            for (auto *process : instance->processes())
                isClean = process->wait(maxWait) == 0 && isClean;
        }
        for (auto *instance : group)
            startInstance(*instance);
        for (auto *instance : group)
            isClean = waitUntilServing(*instance, maxWait) && isClean;
    }
    return isClean;
}

bool Site::stopAllInstances(Milliseconds maxWait)
{
    for (auto &instance : instances_) {
        for (Process *process : instance.processes()) {
            if (process)
                process->signal(SIGTERM);
        }
    }
    bool isClean = true;
    for (auto &instance : instances_) {
        for (Process *process : instance.processes())
            isClean &= !process || process->wait(maxWait) == std::optional<int>(0);
    }
    return isClean;
}

void Site::writeInstanceList(const std::set<std::string> &leaving)
{
    json list = json::array();
    for (const auto &instance : instances_) {
        const auto &row = instance.row_;
        list.push_back({{"id", row.id_.value()},
                        {"region", row.region_.value()},
                        {"domain", row.domain_.value()},
                        {"state", leaving.contains(row.id_.value()) ? "leaving" : "live"},
                        {"lookup", toText(row.addresses_.lookup_)},
                        {"entry", toText(row.addresses_.entry_)},
                        {"entry_peer", toText(row.addresses_.entryPeer_)},
                        {"control", toText(row.addresses_.control_)},
                        {"control_admin", toText(row.addresses_.controlAdmin_)}});
    }
    post(platform(), "/standin/instances", list);
}

int Site::tablectl(std::vector<std::string> arguments, std::string *output)
{
    static int calls = 0;
    std::vector<std::string> command = {binary("tablectl"), "--platform=" + toText(platform())};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const auto process = makeProcess("tablectl-" + std::to_string(++calls), command);
    process->start();
    const auto code = process->wait(Milliseconds(20000));
    if (output)
        *output = process->log();
    return code.value_or(-1);
}

void Site::switchPlatform(const json &wanted)
{
    post(platform(), "/standin/switch", wanted);
}

void Site::switchTarget(const std::string &id, const json &wanted)
{
    post(target(id).row_.address_, "/standin/switch", wanted);
}

void Site::switchProxy(const std::string &group, const std::string &mode)
{
    post({"127." + std::to_string(net_) + ".0.2", proxyPort}, "/standin/switch",
         {{"group", group}, {"mode", mode}});
}

json Site::targetCounts(const std::string &id)
{
    return getJson(target(id).row_.address_, "/standin/counts").value_or(json::object());
}

json Site::targetRefusals(const std::string &id)
{
    return getJson(target(id).row_.address_, "/standin/refusals").value_or(json::array());
}

json Site::platformCounts()
{
    return getJson(platform(), "/standin/counts").value_or(json::object());
}

std::string Site::lookupList() const
{
    std::string list;
    for (const auto &instance : instances_)
        list += (list.empty() ? "" : ",") + toText(instance.row_.addresses_.lookup_);
    return list;
}

std::string Site::targetList() const
{
    std::string list;
    for (const auto &target : targets_)
        list += (list.empty() ? "" : ",") + toText(target.row_.address_);
    return list;
}

std::string Site::samplesPath(const std::string &name) const
{
    return directory_ + "/" + name + ".samples";
}

std::unique_ptr<Process> Site::loadtool(const std::string &name, const std::string &profile,
                                        int seconds, int seed,
                                        std::vector<std::string> extraArguments)
{
    std::vector<std::string> command = {binary("loadtool"),
                                        "--profile=" + write(name + ".profile", profile),
                                        "--lookups=" + lookupList(),
                                        "--targets=" + targetList(),
                                        "--seconds=" + std::to_string(seconds),
                                        "--seed=" + std::to_string(seed),
                                        "--samples=" + samplesPath(name)};
    command.insert(command.end(), extraArguments.begin(), extraArguments.end());
    return makeProcess(name, std::move(command));
}

} // namespace Harness
