// Runs every registered test of one program and prints, as the last line, "NAME: N passed, N
// failed".

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <set>
#include <sstream>

DEFINE_string(known_red, "", "comma-separated tests that may fail; see KNOWN-RED.txt");
DEFINE_string(only, "", "run only the tests whose names contain this");

namespace {

std::set<std::string> names(const std::string &list)
{
    std::set<std::string> result;
    std::istringstream stream(list);
    for (std::string name; std::getline(stream, name, ',');)
        result.insert(name);
    return result;
}

class Listener : public CppUnit::TestListener
{
public:
    void startTest(CppUnit::Test *test) override
    {
        hasFailed_ = false;
        std::cout << "  " << test->getName() << std::flush;
    }

    void addFailure(const CppUnit::TestFailure &failure) override
    {
        hasFailed_ = true;
        const auto line = failure.sourceLine();
        std::cout << "\n    " << line.fileName() << ":" << line.lineNumber() << ": "
                  << failure.thrownException()->message().shortDescription() << " "
                  << failure.thrownException()->message().details() << std::flush;
    }

    void endTest(CppUnit::Test *test) override
    {
        const bool isKnown = known_.contains(test->getName());
        if (hasFailed_ && isKnown) {
            std::cout << "  known red" << std::endl;
        } else {
            std::cout << (hasFailed_ ? "  FAILED" : "  ok") << std::endl;
        }
        if (hasFailed_ && !isKnown)
            ++failed_;
        if (!hasFailed_)
            ++passed_;
    }

    int passed() const { return passed_; }
    int failed() const { return failed_; }

private:
    std::set<std::string> known_ = names(FLAGS_known_red);
    bool hasFailed_ = false;
    int passed_ = 0;
    int failed_ = 0;
};

void runMatching(CppUnit::Test *test, CppUnit::TestResult &result)
{
    if (test->getChildTestCount() == 0) {
        if (test->getName().find(FLAGS_only) != std::string::npos)
            test->run(&result);
        return;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i)
        runMatching(test->getChildTestAt(i), result);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    // Makes RapidCheck generate the same cases in every run.
    setenv("RC_PARAMS", "seed=20261202", 0);

    CppUnit::TestResult result;
    Listener listener;
    result.addListener(&listener);
    CppUnit::Test *all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    runMatching(all, result);
    const std::string program = std::string(argv[0]).substr(std::string(argv[0]).rfind('/') + 1);
    std::cout << program << ": " << listener.passed() << " passed, " << listener.failed()
              << " failed" << std::endl;
    return listener.failed() == 0 ? 0 : 1;
}
