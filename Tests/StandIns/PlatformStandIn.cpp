// A minimal fake of the platform: table service, object store, instance list, and switches that
// inject failures. docs/platform-protocol.md describes the protocol.

#include "StandInMain.h"

#include <deque>
#include <map>

DEFINE_string(address, "127.0.0.1:9000", "listen address");

namespace {

using Model::Milliseconds;
using nlohmann::json;
namespace http = Http::http;

struct StoredRow
{
    std::optional<std::string> value_;
    std::uint64_t revision_ = 0;
};

struct Switches
{
    bool isDown_ = false;
    /// Delay of every answer.
    Milliseconds delay_{0};
    /// Number of further commits that take effect but are never answered.
    int lostConfirmations_ = 0;
    /// Age of the instance list that is returned.
    Milliseconds listLag_{0};
    /// Reads return the rows of the last "remember" switch.
    bool isStale_ = false;
};

class Platform
{
public:
    Http::Task<Http::Response> answer(Http::IncomingRequest request)
    {
        const std::string target(request.message_.target());
        if (target.starts_with("/standin/"))
            co_return control(target, request.message_.body());
        if (switches_.isDown_)
            co_return jsonAnswer({{"error", "down"}}, http::status::service_unavailable);
        if (switches_.delay_ > Milliseconds(0)) {
            co_await Http::sleepFor(switches_.delay_);
        }
        if (target.starts_with("/v1/commit")) {
            co_return co_await commit(request.message_.body());
        }
        co_return read(target, request.message_);
    }

private:
    static Http::Response jsonAnswer(const json &body, http::status status = http::status::ok)
    {
        return StandIns::jsonAnswer(body, status);
    }

    Http::Response read(const std::string &target, const Http::Request &message)
    {
        if (target.starts_with("/v1/rows"))
            return readRows(target);
        if (target.starts_with("/v1/instances"))
            return jsonAnswer({{"instances", laggingList()}});
        const std::string objects = "/v1/objects/";
        if (!target.starts_with(objects))
            return jsonAnswer({{"error", "unknown"}}, http::status::not_found);
        const std::string name = target.substr(objects.size());
        if (message.method() == http::verb::put) {
            objects_[name] = message.body();
            return jsonAnswer(json::object());
        }
        const auto found = objects_.find(name);
        if (found == objects_.end())
            return jsonAnswer({{"error", "no such object"}}, http::status::not_found);
        return Http::textAnswer(http::status::ok, "text/plain", found->second, 11);
    }

    Http::Response readRows(const std::string &target)
    {
        ++reads_;
        const std::string prefix
            = StandIns::unescaped(StandIns::queryValue(target, "prefix").value_or(""));
        const auto after = std::stoull(StandIns::queryValue(target, "after").value_or("0"));
        const auto &rows = switches_.isStale_ ? staleRows_ : rows_;
        json items = json::array();
        for (auto row = rows.lower_bound(prefix);
             row != rows.end() && row->first.starts_with(prefix); ++row) {
            if (row->second.revision_ <= after || (after == 0 && !row->second.value_))
                continue;
            json item = {{"key", row->first}, {"revision", row->second.revision_}};
            item["value"] = row->second.value_ ? json(*row->second.value_) : json(nullptr);
            items.push_back(item);
        }
        return jsonAnswer(
            {{"revision", switches_.isStale_ ? staleRevision_ : revision_}, {"rows", items}});
    }

    Http::Task<Http::Response> commit(std::string body)
    {
        ++writes_;
        const json request = json::parse(body, nullptr, false);
        json conflicts = json::array();
        for (const auto &condition : request.at("conditions")) {
            const auto row = rows_.find(condition.at("key").get<std::string>());
            const bool exists = row != rows_.end() && row->second.value_;
            const std::uint64_t revision = exists ? row->second.revision_ : 0;
            if (revision != condition.at("revision").get<std::uint64_t>())
                conflicts.push_back(condition.at("key"));
        }
        if (!conflicts.empty())
            co_return jsonAnswer({{"conflicts", conflicts}}, http::status::conflict);
        ++revision_;
        for (const auto &write : request.at("writes")) {
            StoredRow &row = rows_[write.at("key").get<std::string>()];
            row.revision_ = revision_;
            row.value_.reset();
            if (!write.at("value").is_null())
                row.value_ = write.at("value").get<std::string>();
        }
        const std::uint64_t committed = revision_;
        if (switches_.lostConfirmations_ > 0) {
            --switches_.lostConfirmations_;
            co_await Http::sleepFor(Milliseconds(60000));
        }
        co_return jsonAnswer({{"revision", committed}});
    }

    json laggingList()
    {
        const auto then = std::chrono::steady_clock::now() - switches_.listLag_;
        while (lists_.size() > 1 && lists_[1].first <= then)
            lists_.pop_front();
        return lists_.empty() ? json::array() : lists_.front().second;
    }

    Http::Response control(const std::string &target, const std::string &body)
    {
        if (target == "/standin/instances") {
            lists_.emplace_back(std::chrono::steady_clock::now(), json::parse(body));
            return jsonAnswer(json::object());
        }
        if (target == "/standin/switch")
            return change(json::parse(body));
        return jsonAnswer({{"reads", reads_}, {"writes", writes_}, {"revision", revision_}});
    }

    Http::Response change(const json &wanted)
    {
        switches_.isDown_ = wanted.value("down", switches_.isDown_);
        switches_.delay_ = Milliseconds(wanted.value("delay_ms", switches_.delay_.count()));
        switches_.lostConfirmations_
            = wanted.value("lose_confirmations", switches_.lostConfirmations_);
        switches_.listLag_ = Milliseconds(wanted.value("list_lag_ms", switches_.listLag_.count()));
        switches_.isStale_ = wanted.value("stale", switches_.isStale_);
        // Saves the rows that a lagging replica returns while "stale" is set.
        if (wanted.value("remember", false)) {
            staleRows_ = rows_;
            staleRevision_ = revision_;
        }
        return jsonAnswer(json::object());
    }

    std::map<std::string, StoredRow> rows_;
    std::map<std::string, StoredRow> staleRows_;
    std::map<std::string, std::string> objects_;
    std::deque<std::pair<Model::SteadyTime, json>> lists_;
    Switches switches_;
    std::uint64_t revision_ = 0;
    std::uint64_t staleRevision_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("A stand-in for the platform, for tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Http::asio::io_context context(1);
    Platform platform;
    return StandIns::serveUntilStopped(context, FLAGS_address, [&](Http::IncomingRequest request) {
        return platform.answer(std::move(request));
    });
}
