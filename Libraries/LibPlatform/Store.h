#pragma once

#include <LibHttp/LibHttp.h>
#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// Grows with each commit of the platform's table service.
using Revision = Model::StrongNumber<struct RevisionTag, std::uint64_t>;

/// The platform's table service, object store and instance list, as one thread uses them.
///
/// Thread safety: none; the pool belongs to the calling thread.
struct Store
{
    Model::Address address_;
    Model::Milliseconds timeout_{1000};
    Http::ConnectionPool *pool_ = nullptr;
    /// Calls made, for the readout.
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

struct StoredRow
{
    std::string key_;
    /// Nothing where the row was deleted.
    std::optional<std::string> value_;
    Revision revision_;
};

/// Rows as they stood together at one revision.
struct StoredRows
{
    Revision revision_;
    std::vector<StoredRow> rows_;
};

/// Holds if the row's latest change is that of the given revision; zero asks for an absent row.
struct Condition
{
    std::string key_;
    Revision revision_;
};

struct Write
{
    std::string key_;
    /// Nothing deletes the row.
    std::optional<std::string> value_;
};

/// All of the writes happen if all of the conditions hold, else none.
struct Commit
{
    std::vector<Condition> conditions_;
    std::vector<Write> writes_;
};

struct CommitAnswer
{
    Revision revision_;
    /// Keys whose conditions did not hold; if there are any, nothing was written.
    std::vector<std::string> conflicts_;
};

/// Returns the rows whose keys begin with \a prefix and that changed after \a after, deleted ones
/// included if \a after is not zero.
///
/// Returns nothing with PlatformUnreachable, PlatformError or PlatformBadAnswer as the last reason.
/// Thread safety: as Store.
Http::Task<std::optional<StoredRows>> readRows(Store &store, std::string prefix, Revision after);

/// Commits. Returns nothing with PlatformUnreachable or PlatformError if nothing was written, with
/// CommitOutcomeUnknown if the writes may or may not have taken effect. Thread safety: as Store.
Http::Task<std::optional<CommitAnswer>> commit(Store &store, const Commit &commit);

/// Returns the platform's list of cassiacrank's instances, which lags. Errors as for readRows().
Http::Task<std::optional<std::vector<Model::Instance>>> readInstances(Store &store);

/// Returns an object of the object store. Errors as for readRows(). Thread safety: as Store.
Http::Task<std::optional<std::string>> readObject(Store &store, std::string name);

} // namespace Platform
