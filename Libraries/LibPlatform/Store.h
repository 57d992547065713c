#pragma once

#include "Revision.h"

#include <LibHttp/LibHttp.h>
#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// One thread's client of the platform's table service, object store and instance list.
///
/// Thread safety: none; the pool belongs to the calling thread.
struct Store
{
    Model::Address address_;
    Model::Milliseconds timeout_{1000};
    Http::ConnectionPool *pool_ = nullptr;
    /// Number of calls, for the metrics.
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

struct StoredRow
{
    std::string key_;
    /// std::nullopt if the row was deleted.
    std::optional<std::string> value_;
    Revision revision_;
};

/// A consistent set of rows at one revision.
struct StoredRows
{
    Revision revision_;
    std::vector<StoredRow> rows_;
};

/// Holds if the row's latest change has the given revision; zero requires an absent row.
struct Condition
{
    std::string key_;
    Revision revision_;
};

struct Write
{
    std::string key_;
    /// std::nullopt deletes the row.
    std::optional<std::string> value_;
};

/// A transaction: all writes are applied if all conditions hold, else none.
struct Commit
{
    std::vector<Condition> conditions_;
    std::vector<Write> writes_;
};

struct CommitAnswer
{
    Revision revision_;
    /// Keys whose conditions did not hold; unless empty, nothing was written.
    std::vector<std::string> conflicts_;
};

/// Returns the rows whose keys begin with \a prefix and that changed after \a after, including
/// deleted ones if \a after is not zero.
///
/// Returns std::nullopt with PlatformUnreachable, PlatformError or PlatformBadAnswer as the last
/// reason. Thread safety: as Store.
Http::Task<std::optional<StoredRows>> readRows(Store &store, std::string prefix, Revision after);

/// Sends \a commit. Returns std::nullopt with PlatformUnreachable or PlatformError if nothing was
/// written, with CommitOutcomeUnknown if the writes may or may not have taken effect.
/// Thread safety: as Store.
Http::Task<std::optional<CommitAnswer>> commit(Store &store, const Commit &commit);

/// Returns the platform's list of cassiacrank's instances, which lags behind the actual state.
/// Errors as for readRows().
Http::Task<std::optional<std::vector<Model::Instance>>> readInstances(Store &store);

/// Returns an object of the object store. Errors as for readRows(). Thread safety: as Store.
Http::Task<std::optional<std::string>> readObject(Store &store, std::string name);

} // namespace Platform
