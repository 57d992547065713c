#pragma once

#include <Harness/Samples.h>
#include <Harness/Site.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace Integration {

/// The parameters of one stream of a load profile.
struct StreamOptions
{
    std::string name_;
    std::string service_ = "gauging";
    std::string callers_ = "pilot-";
    int callerCount_ = 4;
    double rate_ = 50;
    std::string region_ = "Primorska";
    /// Further lines of the stream's section.
    std::string more_;
};

/// Returns the stream's section of a load profile. Thread safety: any thread.
inline std::string section(const Harness::Site &site, const StreamOptions &options)
{
    return "[stream " + options.name_ + "]\nservice = " + options.service_ + "\ncaller = "
           + options.callers_ + "\ncallers = " + std::to_string(options.callerCount_)
           + "\nrate = " + std::to_string(options.rate_) + "\norigin = " + options.region_
           + "\nsource = " + site.callerSource(options.region_) + "\n" + options.more_ + "\n";
}

/// The samples and the log of a finished load.
struct LoadResult
{
    std::vector<Harness::SampleLine> samples_;
    std::string log_;

    double judged(const std::string &name) const { return Harness::valueIn(log_, "judged", name); }
    double wrong() const { return Harness::valueIn(log_, "stream=all", "wrong"); }
};

/// Waits for a load tool to end and reads its samples and log.
inline LoadResult finish(Harness::Site &site, Harness::Process &load, const std::string &name)
{
    const auto code = load.wait(Model::Milliseconds(90000));
    CPPUNIT_ASSERT_MESSAGE(load.log(), code == 0);
    auto samples = Harness::readSamples(site.samplesPath(name));
    const std::string log = load.log() + Harness::refusalsOf(samples);
    return {std::move(samples), log};
}

/// Asserts the invariants of every test: no caller gets the answer to another request, no request
/// that must run once runs twice, and no request reported as "not run" has run.
inline void assertTruth(const LoadResult &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE("wrong answers\n" + result.log_, 0.0, result.wrong());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("run twice", 0.0, result.judged("duplicated"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not run, but ran", 0.0, result.judged("not_run_but_run"));
}

/// Sends a request and returns its answer; fails the test if there is none. Thread safety: any
/// thread.
inline Http::Response send(const Model::Address &address, Http::http::verb method,
                           const std::string &target,
                           const std::vector<std::pair<std::string, std::string>> &headers = {})
{
    Http::asio::io_context context;
    Http::ConnectionPool pool(context);
    Http::Request request(method, target, 11);
    request.set(Http::http::field::host, "test");
    for (const auto &[name, value] : headers)
        request.set(name, value);
    request.prepare_payload();
    Http::ExchangeOptions options;
    options.address_ = address;
    options.deadline_ = std::chrono::steady_clock::now() + Model::Milliseconds(5000);
    Http::ExchangeResult result;
    const auto run = [&]() -> Http::Task<void> {
        result = co_await Http::exchange(pool, options, request, Http::acceptAnyAnswer);
    };
    Http::asio::co_spawn(context, run(), Http::asio::detached);
    context.run();
    CPPUNIT_ASSERT(result.answer_);
    return *result.answer_;
}

} // namespace Integration
