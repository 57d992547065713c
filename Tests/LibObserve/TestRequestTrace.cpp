#include <LibObserve/LibObserve.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Observe::LogLine;

std::vector<LogLine> linesOf(const std::string &source, const std::vector<std::string> &texts)
{
    std::vector<LogLine> lines;
    for (const auto &text : texts) {
        auto line = Observe::logLineFromText(source, text);
        CPPUNIT_ASSERT_MESSAGE(text, line);
        lines.push_back(std::move(*line));
    }
    return lines;
}

void append(std::vector<LogLine> &to, std::vector<LogLine> more)
{
    to.insert(to.end(), more.begin(), more.end());
}

class TestRequestTrace : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestTrace);
    CPPUNIT_TEST(writtenLinesAreParsed);
    CPPUNIT_TEST(noTextMakesTheParserThrow);
    CPPUNIT_TEST(traceHasLinesOfTargetsAndInstance);
    CPPUNIT_TEST(clockOffsetsAreCorrected);
    CPPUNIT_TEST(unknownRequestHasNoTrace);
    CPPUNIT_TEST_SUITE_END();

public:
    void writtenLinesAreParsed()
    {
        const auto line = Observe::logLineFromText(
            "i1",
            R"(t=1500 event=5004 name=RequestRetried id=c1 after="No answer; \"run\"?" target=t1)");
        CPPUNIT_ASSERT(line);
        CPPUNIT_ASSERT(line->at_ == Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::string("RequestRetried"), line->name_);
        CPPUNIT_ASSERT_EQUAL(std::string("No answer; \"run\"?"), line->fields_.at("after"));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), line->fields_.at("target"));
        CPPUNIT_ASSERT(!Observe::logLineFromText("i1", "[1001 Started] by glog"));
        CPPUNIT_ASSERT(!Observe::logLineFromText("i1", "t=soon name=Started"));
    }

    void noTextMakesTheParserThrow()
    {
        Support::assertProperty("no text throws", [] {
            const auto text = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string("t=1 name\"\\xyz")));
            Observe::logLineFromText("i1", text);
        });
    }

    // Finds the lines that explain one request among those of thousands in the logs of many
    // instances.
    void traceHasLinesOfTargetsAndInstance()
    {
        auto lines = linesOf("i1", {"t=1000 event=2003 name=StoreLost table=targets",
                                    "t=2000 event=5004 name=RequestRetried id=c1 target=t1",
                                    "t=2010 event=5001 name=RequestAnswered id=c2 target=t9",
                                    "t=2100 event=5003 name=RequestUnknown id=c1 target=t2",
                                    "t=9000 event=5103 name=TargetGone target=t1"});
        append(lines, linesOf("i2", {"t=1900 event=3002 name=TargetSuspect target=t1",
                                     "t=1950 event=5001 name=RequestAnswered id=c3 target=t1",
                                     "t=1960 event=2003 name=StoreLost table=targets"}));
        const auto trace = Observe::requestTraceOf("c1", lines);
        std::vector<std::string> names;
        for (const auto &line : trace)
            names.push_back(line.source_ + " " + line.name_);
        const std::vector<std::string> expected
            = {"i1 StoreLost", "i2 TargetSuspect", "i1 RequestRetried", "i1 RequestUnknown"};
        CPPUNIT_ASSERT(names == expected);
    }

    // Guards against ordering lines by clocks that disagree: with clocks two seconds apart, an
    // instance would appear to know that a target leaves before it received the change.
    void clockOffsetsAreCorrected()
    {
        auto lines = linesOf("i1", {"t=1000 event=5102 name=TargetChanged target=t1 revision=7",
                                    "t=1500 event=5102 name=TargetChanged target=t2 revision=8",
                                    "t=1900 event=5003 name=RequestUnknown id=c1 target=t1"});
        append(lines, linesOf("i2", {"t=3010 event=5102 name=TargetChanged target=t1 revision=7",
                                     "t=3490 event=5102 name=TargetChanged target=t2 revision=8",
                                     "t=3890 event=3002 name=TargetSuspect target=t1"}));
        const auto offsets = Observe::clockOffsets(lines);
        CPPUNIT_ASSERT(offsets.at("i1") == Milliseconds(0));
        CPPUNIT_ASSERT(offsets.at("i2") >= Milliseconds(1990));
        CPPUNIT_ASSERT(offsets.at("i2") <= Milliseconds(2010));
        const auto trace = Observe::requestTraceOf("c1", lines);
        CPPUNIT_ASSERT_EQUAL(std::string("RequestUnknown"), trace.back().name_);
    }

    void unknownRequestHasNoTrace()
    {
        CPPUNIT_ASSERT(Observe::requestTraceOf("c9", linesOf("i1", {"t=1 name=Started"})).empty());
        CPPUNIT_ASSERT(Observe::requestTraceOf("c9", {}).empty());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestTrace);
