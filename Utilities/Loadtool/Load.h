#pragma once

#include "Report.h"

#include <LibHttp/LibHttp.h>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace Loadtool {

/// Settings of a load run.
struct LoadOptions
{
    std::vector<Stream> streams_;
    /// Look-up addresses from which callers request entries.
    std::vector<Model::Address> lookups_;
    /// If set, callers send requests directly to these targets, bypassing the system.
    std::vector<Model::Address> direct_;
    Model::Milliseconds duration_{20000};
    std::uint64_t seed_ = 1;
};

/// Simulates callers: each looks up entries, caches them for their TTL, and sends its requests at
/// planned times whether or not earlier ones have been answered (open loop).
///
/// Thread safety: none; run() blocks the calling thread.
class Load
{
public:
    explicit Load(LoadOptions options);

    /// Runs the load and returns a sample for each request. Calls \a progress every second.
    std::vector<Sample> run(const std::function<void(const std::vector<Sample> &)> &progress);

private:
    struct Caller;

    Http::Task<void> runStream(std::size_t stream);
    Http::Task<void> runRequest(std::size_t stream, std::shared_ptr<Caller> caller,
                                Model::SteadyTime planned);
    Http::Task<void> sendThroughEntries(const Stream &stream, Caller &caller, Sample &sample,
                                        Model::SteadyTime deadline);
    Http::Task<void> refreshEntries(const Stream &stream, Caller &caller);
    Http::Task<bool> sendOnce(const Stream &stream, Caller &caller, Sample &sample,
                              Model::Address entry, Model::SteadyTime deadline);
    Http::Request makeRequest(const Stream &stream, const Caller &caller,
                              const Sample &sample) const;
    Http::Task<void> reportProgress(std::function<void(const std::vector<Sample> &)> progress);

    LoadOptions options_;
    Http::asio::io_context context_{1};
    std::mt19937_64 random_;
    std::vector<Sample> samples_;
    Model::SteadyTime startedAt_;
    std::size_t inProgress_ = 0;
    std::uint64_t lastToken_ = 0;
};

} // namespace Loadtool
