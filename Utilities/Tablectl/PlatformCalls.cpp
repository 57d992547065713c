#include "PlatformCalls.h"

#include <random>

namespace Tablectl {

namespace {

/// Runs a coroutine to completion and returns its result; the last reason is kept.
template <typename Result, typename Start>
std::optional<Result> runToCompletion(const Options &options, Start start)
{
    Http::asio::io_context context(1);
    Http::ConnectionPool pool(context);
    Platform::Store store;
    store.address_ = options.platform_;
    store.timeout_ = options.timeout_;
    store.pool_ = &pool;
    std::optional<Result> result;
    const auto run = [&]() -> Http::Task<void> {
        result = co_await start(store);
    };
    Http::asio::co_spawn(context, run(), Http::asio::detached);
    context.run();
    return result;
}

/// Returns a unique edit id; an operator can pass an id instead to retry an edit.
Model::EditId newEditId()
{
    std::random_device device;
    std::string id;
    for (int i = 0; i < 4; ++i)
        id += std::to_string(device()) + (i < 3 ? "-" : "");
    return Model::EditId(id);
}

} // namespace

Model::WallTime wallNow()
{
    return std::chrono::time_point_cast<Model::Milliseconds>(std::chrono::system_clock::now());
}

std::optional<Platform::TableMirror> readTable(const Options &options)
{
    return runToCompletion<Platform::TableMirror>(options, [](Platform::Store &store) {
        return Platform::readTable(store);
    });
}

std::optional<Model::TableVersion> commitEdit(const Options &options, Platform::Edit edit)
{
    edit.id_ = options.editId_.empty() ? newEditId() : Model::EditId(options.editId_);
    edit.operator_ = options.operator_;
    edit.at_ = wallNow();
    edit.base_ = options.base_;
    return runToCompletion<Model::TableVersion>(options, [&](Platform::Store &store) {
        return Platform::commitEdit(store, edit);
    });
}

std::optional<std::vector<Observe::AuditRecord>> readHistory(const Options &options)
{
    return runToCompletion<std::vector<Observe::AuditRecord>>(options, [](Platform::Store &store) {
        return Platform::readHistory(store);
    });
}

std::optional<std::vector<Model::Instance>> readInstances(const Options &options)
{
    return runToCompletion<std::vector<Model::Instance>>(options, [](Platform::Store &store) {
        return Platform::readInstances(store);
    });
}

} // namespace Tablectl
