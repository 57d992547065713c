#include "Fleet.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace PlatformStandIns {

using Model::Milliseconds;
using nlohmann::json;

namespace {

constexpr Milliseconds startTimeout{20000};
const std::vector<std::string> domains = {"r-a", "s-a", "r-b", "s-b"};

std::string uniqueNetwork()
{
    static int fleets = 0;
    const int process = static_cast<int>(getpid());
    ++fleets;
    return "127." + std::to_string(100 + process % 100) + "."
           + std::to_string((process / 100 + fleets * 31) % 250) + ".";
}

std::string executableDirectory()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

} // namespace

Fleet::Fleet()
    : store_("127.0.0.1")
    , net_(uniqueNetwork())
    , directory_(executableDirectory() + "/../runs/fleet-" + net_)
{
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
}

std::string Fleet::host(int number) const
{
    return net_ + std::to_string(number);
}

void Fleet::configure(int version, const std::string &extra)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    json paths = json::array();
    const auto add = [&](const std::string &name, const std::string &kind) {
        paths.push_back({{"name", name},
                         {"prefix", "/" + name + "/"},
                         {"kind", kind},
                         {"timeoutMs", routeTimeout_.count()},
                         {"targetLatencyMs", 400},
                         {"priority", 0},
                         {"service", "s"},
                         {"maxAttempts", 2},
                         {"sticky", true}});
    };
    add("read", "safe");
    add("order", "unsafe");
    if (!extra.empty()) {
        add(extra, "safe");
        if (!homeRegions_.empty())
            paths.back()["homeRegions"] = homeRegions_;
    }
    for (int i = 0; i < manyRoutes_; ++i)
        add("one-of-many-routes-" + std::to_string(i), "safe");
    const json service = {{"name", "s"}, {"maxConns", 390}, {"coldPerS", 11.0}};
    json config = {{"version", text},
                   {"services", {service}},
                   {"limits", {{"idleTimeoutMs", 15000}, {"maxBodyBytes", bodyLimit_}}},
                   {"hosts", {{{"host", "h.example"}, {"paths", paths}}}}};
    if (!workspaces_.empty())
        config["tenants"] = json::parse(workspaces_);
    store_.put("op", "config", config.dump());
}

bool Fleet::serve(std::size_t instances, const std::vector<std::string> &targets)
{
    configure(1);
    for (const auto &id : targets)
        addTarget(id, "r-a");
    start(instances);
    return waitUntilServing();
}

FleetInstance &Fleet::startOne(const std::optional<Model::Address> &store,
                               const std::string &moreSettings)
{
    auto instance = std::make_unique<FleetInstance>();
    const std::size_t number = instances_.size();
    instance->host_ = host(++lastHost_);
    instance->name_ = "i" + std::to_string(lastHost_);
    const std::string &domain = domains[number % domains.size()];
    instance->domain_ = domain;
    const std::string settings = directory_ + "/" + instance->name_ + ".ini";
    std::string seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, number); ++i)
        seeds += (seeds.empty() ? "" : ",") + instances_[i]->host_ + ":8146";
    std::ofstream(settings) << "[instance]\nid = " << instance->name_
                            << "\nregion = " << domain.substr(0, 1) << "\ndomain = " << domain
                            << "\n[listen]\nlookup = " << instance->host_
                            << ":8143\nentry = " << instance->host_
                            << ":8144\nready = " << instance->host_
                            << ":8140\ncontrol = " << instance->host_
                            << ":8146\nadmin = " << instance->host_
                            << ":8147\n[platform]\naddress = "
                            << toText(store.value_or(store_.address())) << "\nterms = " << terms_
                            << "\n[peers]\nseeds = " << seeds
                            << "\n[site]\ndomains = r-a:r,r-b:r,s-a:s,s-b:s\n"
                            << moreSettings;
    instance->process_ = std::make_unique<Harness::Process>(
        instance->name_,
        std::vector<std::string>{executableDirectory() + "/instanced", "--settings=" + settings},
        directory_ + "/" + instance->name_ + ".log");
    instance->process_->start();
    instances_.push_back(std::move(instance));
    return *instances_.back();
}

void Fleet::start(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        startOne();
    for (const auto &instance : instances_) {
        if (!Harness::waitUntil(startTimeout, [&] {
                return isReady(*instance);
            })) {
            throw std::runtime_error(instance->name_ + " does not become ready:\n"
                                     + instance->process_->log());
        }
    }
}

Target &Fleet::addTarget(const std::string &id, const std::string &zone)
{
    targets_.push_back(std::make_unique<Target>("127.0.0.1", id));
    Target &target = *targets_.back();
    target.setRestartCallback([this, &target, zone](const std::string &earlier) {
        store_.remove("servers", earlier);
        registerTarget(target, zone);
    });
    registerTarget(target, zone);
    return target;
}

void Fleet::registerTarget(const Target &target, const std::string &zone, const std::string &state,
                           int coldMs)
{
    store_.put("servers", target.id(), target.registration("s", zone, state, coldMs));
}

namespace {

Http::SimpleRequest requestFor(const FleetInstance &instance, const std::string &path,
                               const std::string &id, int timeoutMs, const std::string &object)
{
    Http::SimpleRequest request;
    request.address_ = instance.entry();
    request.target_ = path;
    request.method_ = path.starts_with("/order/") ? Http::http::verb::post : Http::http::verb::get;
    request.timeout_ = Milliseconds(timeoutMs + 1000);
    request.fields_ = {{"Host", "h.example"},
                       {"X-Cassiacrank-Request-Id", id},
                       {"X-Cassiacrank-Affinity-Key", object},
                       {"X-Cassiacrank-Deadline-Ms", std::to_string(timeoutMs)}};
    return request;
}

} // namespace

std::optional<Http::Response> Fleet::send(const FleetInstance &instance, const std::string &route,
                                          const std::string &id, int timeoutMs,
                                          const std::string &object)
{
    return Http::sendAndWait(requestFor(instance, "/" + route + "/x", id, timeoutMs, object));
}

std::optional<Http::Response> Fleet::sendWithKey(const FleetInstance &instance,
                                                 const std::string &route, const std::string &id,
                                                 const std::string &key)
{
    constexpr int timeoutMs = 2000;
    auto request = requestFor(instance, "/" + route + "/x", id, timeoutMs, id);
    request.fields_.emplace_back("X-Cassiacrank-Key", key);
    return Http::sendAndWait(request);
}

std::optional<Http::Response> Fleet::sendTo(const FleetInstance &instance, const std::string &path,
                                            const std::string &id, const std::string &body,
                                            const std::string &object)
{
    constexpr int timeoutMs = 2000;
    auto request = requestFor(instance, path, id, timeoutMs, object);
    request.body_ = body;
    return Http::sendAndWait(request);
}

std::vector<std::string> Fleet::lookUp(const FleetInstance &instance, const std::string &region)
{
    Http::SimpleRequest request;
    request.address_ = instance.lookup();
    request.target_ = "/-/resolve?name=h.example&region=" + region + "&zone=" + region + "-a";
    const auto answer = Http::sendAndWait(request);
    if (!answer || answer->result() != Http::http::status::ok)
        return {};
    return json::parse(answer->body()).at("addrs").get<std::vector<std::string>>();
}

bool Fleet::isReady(const FleetInstance &instance)
{
    Http::SimpleRequest request;
    request.address_ = instance.ready();
    request.target_ = "/-/ready";
    request.timeout_ = Milliseconds(1000);
    const auto answer = Http::sendAndWait(request);
    return answer && answer->result() == Http::http::status::ok;
}

double Fleet::metric(const FleetInstance &instance, const std::string &name)
{
    Http::SimpleRequest request;
    request.address_ = instance.admin();
    request.target_ = "/metrics";
    const auto answer = Http::sendAndWait(request);
    const auto at = answer ? answer->body().find("\n" + name + " ") : std::string::npos;
    if (at == std::string::npos)
        throw std::runtime_error(instance.name_ + " has no metric " + name);
    return std::stod(answer->body().substr(at + name.size() + 2));
}

bool Fleet::waitUntilServing()
{
    static int number = 0;
    for (const auto &instance : instances_) {
        const bool isServing = Harness::waitUntil(startTimeout, [&] {
            const auto answer = send(*instance, "read", "warm-" + std::to_string(++number));
            return answer && answer->result() == Http::http::status::ok;
        });
        if (!isServing)
            return false;
    }
    return true;
}

} // namespace PlatformStandIns
