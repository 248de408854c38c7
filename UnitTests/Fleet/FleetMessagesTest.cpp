#include <Guavashift/Fleet/FleetMessages.h>

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace guavashift;

namespace {

const Lifetime lifetime{"w1", 77};
const TaskRef task{"job", 3, 1, 9};

WorkerFacts facts()
{
    WorkerFacts facts;
    facts.lifetime = lifetime;
    facts.service = "orders";
    facts.zone = "z";
    facts.machine = "m";
    facts.capacity = {64'000, 250'000, 2};
    facts.labels = {"a", "rack"};
    facts.draining = true;
    facts.drainLeftMs = 4500;
    return facts;
}

FleetCall submission()
{
    FleetCall call{8, CallKind::Submit, "host", "/p/id", JobPlan{}, "document", "request"};
    call.plan->steps.resize(2);
    call.plan->steps[1].after = {0};
    return call;
}

/// One message of each type, with different values in all fields.
std::vector<FleetMessage> oneOfEach()
{
    const RunStatus row{task, 4, "saved", 55, 12.5};
    const RunTraits traits{task, 4, "image", 50, true, 7000};
    return {
        LeaderQuery{},
        LeaderReply{true, "10.0.0.1:7240"},
        OpenSession{NodeRole::Agent, "node", "10.0.0.2:7240"},
        SessionOpened{512, 4500},
        Directory{{"a", "b"}, {"c"}},
        RelayTo{"10.0.0.3:7240"},
        ReplicaMessages{"10.0.0.4:7240", {}},
        JoinRequest{},
        RenewLease{123},
        LeaseGranted{124},
        WorkerReport{facts()},
        Inventory{lifetime, {row}},
        RunTable{lifetime, {row, row}},
        RunsEnded{lifetime, {{6, {task, 4, RunEnd::Failed, "saved"}}}},
        EndsCommitted{lifetime, 6},
        StartRefused{lifetime, task, 4, "no-room"},
        LifetimeEnded{lifetime, true},
        KnownRuns{{traits}},
        StartOrder{lifetime, traits, "payload", "saved", "ticket"},
        StopOrder{lifetime, task, 4},
        submission(),
        FleetCall{9, CallKind::Query, "host", "/p/id", std::nullopt, "", "request"},
        FleetAnswer{9, CallResult::State, "running", 2},
        InterferenceReport{{{"server", "press", 7.5}}},
        WorkerCrashed{lifetime, {{task, 4}}},
        OpenStarts{lifetime, {{task, 5}}},
        EndProven{lifetime, LifetimeProof::LeaseRanOut},
        LifetimeAnswered{lifetime},
        CallerLimitsInForce{{262'144, 15'000}},
    };
}

} // namespace

/// Encoding and decoding of the frames between the processes of a fleet.
class FleetMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetMessagesTest);
    CPPUNIT_TEST(decodesEncodedFrames);
    CPPUNIT_TEST(frameFormatIsUnchanged);
    CPPUNIT_TEST(readsReportsOfEarlierVersions);
    CPPUNIT_TEST(rejectsInvalidFrames);
    CPPUNIT_TEST(survivesDamagedFrames);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodesEncodedFrames()
    {
        for (const FleetMessage &message : oneOfEach()) {
            const std::string frame = encodeFrame(message);
            const std::optional<FleetMessage> read = decodeFrame(frame);
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT_EQUAL(message.index(), read->index());
            CPPUNIT_ASSERT_EQUAL(frame, encodeFrame(*read));
        }
    }

    /// Guards against a changed frame format: processes of two versions exchange frames while a
    /// fleet is updated.
    void frameFormatIsUnchanged()
    {
        std::string all;
        // Frames of types that are added later, and that earlier versions ignore, do not count.
        constexpr std::size_t firstTypes = 23;
        const std::vector<FleetMessage> messages = oneOfEach();
        for (const FleetMessage &message : messages) {
            if (message.index() < firstTypes)
                all += encodeFrame(message);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("31254c3ab4640744"), hexOf(hashBytes(all)));
    }

    /// Agents of the version before do not send the cold time.
    void readsReportsOfEarlierVersions()
    {
        WorkerFacts cold = facts();
        cold.coldLeftMs = 2500;
        const std::string frame = encodeFrame(WorkerReport{cold});
        const auto read = decodeFrame(frame);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(cold == std::get<WorkerReport>(*read).facts);
        Json json = Json::from_cbor(frame);
        json.at(1).erase(json.at(1).size() - 1);
        std::string earlier;
        Json::to_cbor(json, earlier);
        CPPUNIT_ASSERT_EQUAL(encodeFrame(WorkerReport{facts()}), earlier);
        const auto readEarlier = decodeFrame(earlier);
        CPPUNIT_ASSERT(readEarlier);
        CPPUNIT_ASSERT(facts() == std::get<WorkerReport>(*readEarlier).facts);
        // All other fields are needed.
        json.at(1).erase(json.at(1).size() - 1);
        std::string shorter;
        Json::to_cbor(json, shorter);
        CPPUNIT_ASSERT(!decodeFrame(shorter));
    }

    void rejectsInvalidFrames()
    {
        for (const FleetMessage &message : oneOfEach()) {
            const std::string frame = encodeFrame(message);
            CPPUNIT_ASSERT(!decodeFrame(std::string_view(frame).substr(0, frame.size() - 1)));
        }
        CPPUNIT_ASSERT(!decodeFrame(""));
        CPPUNIT_ASSERT(!decodeFrame("\x82\x18\xff\x80"));
    }

    /// Guards against a process that one malformed frame ends: values without a name were thrown
    /// on when they were logged.
    void survivesDamagedFrames()
    {
        std::mt19937 random(20262); // NOLINT: the same bytes every time
        std::size_t decoded = 0;
        for (const FleetMessage &message : oneOfEach()) {
            const std::string whole = encodeFrame(message);
            for (int i = 0; i < 2000; ++i) {
                std::string frame = whole;
                for (int change = 0; change < 1 + i % 3; ++change)
                    frame[random() % frame.size()] = static_cast<char>(random() % 256);
                const std::optional<FleetMessage> read = decodeFrame(frame);
                if (!read)
                    continue;
                ++decoded;
                logAsReceived(*read);
            }
        }
        CPPUNIT_ASSERT(decoded > 1000);
    }

private:
    /// Names the values of a message as its receivers do.
    static void logAsReceived(const FleetMessage &message)
    {
        std::visit(
            Overloaded{
                [](const RunsEnded &ended) {
                    for (const ListedEnd &each : ended.ends)
                        CPPUNIT_ASSERT(!nameOf(each.end.end).empty()
                                       && !nameOf(each.end.evidence).empty());
                },
                [](const FleetCall &call) { CPPUNIT_ASSERT(!nameOf(call.kind).empty()); },
                [](const FleetAnswer &answer) { CPPUNIT_ASSERT(!nameOf(answer.result).empty()); },
                [](const auto &) {}},
            message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMessagesTest);
