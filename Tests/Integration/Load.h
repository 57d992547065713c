#pragma once

#include <Harness/Samples.h>
#include <Harness/Site.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace Integration {

/// One stream of a load, as a test names it.
struct StreamOptions
{
    std::string name_;
    std::string service_ = "gauging";
    std::string callers_ = "pilot-";
    int callerCount_ = 4;
    double rate_ = 50;
    std::string region_ = "Primorska";
    /// Further lines of the profile.
    std::string more_;
};

/// Returns the section of a profile. Thread safety: any thread.
inline std::string section(const Harness::Site &site, const StreamOptions &options)
{
    return "[stream " + options.name_ + "]\nservice = " + options.service_ + "\ncaller = "
           + options.callers_ + "\ncallers = " + std::to_string(options.callerCount_)
           + "\nrate = " + std::to_string(options.rate_) + "\norigin = " + options.region_
           + "\nsource = " + site.callerSource(options.region_) + "\n" + options.more_ + "\n";
}

/// What a finished load gave.
struct LoadResult
{
    std::vector<Harness::SampleLine> samples_;
    std::string log_;

    double judged(const std::string &name) const { return Harness::valueIn(log_, "judged", name); }
    double wrong() const { return Harness::valueIn(log_, "stream=all", "wrong"); }
};

/// Waits for a load tool to end and reads what it wrote.
inline LoadResult finish(Harness::Site &site, Harness::Process &load, const std::string &name)
{
    const auto code = load.wait(Model::Milliseconds(90000));
    CPPUNIT_ASSERT_MESSAGE(load.log(), code == 0);
    auto samples = Harness::readSamples(site.samplesPath(name));
    const std::string log = load.log() + Harness::refusalsOf(samples);
    return {std::move(samples), log};
}

/// Asserts what must hold in every test: no answer of another request, nothing run twice that must
/// run once, and "not run" is true.
inline void assertTruth(const LoadResult &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE("wrong answers\n" + result.log_, 0.0, result.wrong());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("run twice", 0.0, result.judged("duplicated"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not run, but ran", 0.0, result.judged("not_run_but_run"));
}

} // namespace Integration
