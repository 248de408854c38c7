#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Configurations that the operator sends again, at a leader whose followers run in the same
/// thread: a proposal stays undecided as long as only the leader's loop runs.
class ConfigurationResendTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationResendTest);
    CPPUNIT_TEST(proposesNoConfigurationInForce);
    CPPUNIT_TEST(proposesUndecidedConfigurationOnce);
    CPPUNIT_TEST(sharesLossOfProposal);
    CPPUNIT_TEST(proposesOlderUndecidedConfigurationAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a configuration that is replicated and parsed by every replica although it
    /// changes nothing.
    void proposesNoConfigurationInForce()
    {
        const double before = committedCommands();
        replace("1");
        replace("1");
        untilAnswers({CallResult::Done, CallResult::Done});
        CPPUNIT_ASSERT_EQUAL(before, committedCommands());
        replace("2");
        untilAnswers({CallResult::Done, CallResult::Done, CallResult::Done});
        CPPUNIT_ASSERT_EQUAL(before + 1, committedCommands());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), document());
        // A lower version is acknowledged and changes nothing.
        replace("1");
        untilAnswers({CallResult::Done, CallResult::Done, CallResult::Done, CallResult::Done});
        CPPUNIT_ASSERT_EQUAL(std::string("2"), document());
    }

    /// Guards against the same while the first proposal waits for its commit, and against an
    /// acknowledgement before that.
    void proposesUndecidedConfigurationOnce()
    {
        const double before = committedCommands();
        replace("2");
        runLeaderOnce();
        replace("2");
        replace("2");
        runLeaderOnce();
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(m_answers));
        untilAnswers({CallResult::Done, CallResult::Done, CallResult::Done});
        CPPUNIT_ASSERT_EQUAL(before + 1, committedCommands());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), document());
    }

    /// Guards against calls without an answer, or with a wrong one, when the proposal that they
    /// share is lost, and against later calls that wait for that proposal.
    void sharesLossOfProposal()
    {
        replace("2");
        runLeaderOnce();
        replace("2");
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (m_answers.size() < 2 && BootClock::now() < deadline)
            runLeaderOnce();
        untilAnswers({CallResult::Unknown, CallResult::Unknown});
        FleetCall call;
        call.kind = CallKind::ReplaceConfiguration;
        call.document = "2";
        until([&] { return send(call).result == CallResult::Done; });
        CPPUNIT_ASSERT_EQUAL(std::string("2"), document());
    }

    /// Guards against an answer for the latest proposal that is given to a call with another
    /// document.
    void proposesOlderUndecidedConfigurationAgain()
    {
        const double before = committedCommands();
        replace("2");
        replace("3");
        replace("2");
        replace("3");
        CPPUNIT_ASSERT_EQUAL(std::string(), namesOf(m_answers));
        untilAnswers({CallResult::Done, CallResult::Done, CallResult::Done, CallResult::Done});
        // Only the latest proposed document is remembered.
        CPPUNIT_ASSERT_EQUAL(before + 4, committedCommands());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), document());
    }

private:
    Hosted<CoreNode> &leader()
    {
        if (m_leader == nullptr)
            until([this] { return (m_leader = leaderThatTakesCalls()) != nullptr; });
        return *m_leader;
    }

    /// One that leads and has contact with its followers; a leader without it refuses all calls,
    /// which it may on a busy machine.
    Hosted<CoreNode> *leaderThatTakesCalls()
    {
        for (auto &core : m_cores) {
            if (!core->node->leads())
                continue;
            FleetCall call;
            call.kind = CallKind::ReadConfiguration;
            bool takesCalls = false;
            // A leader answers this at once.
            core->node->call(call, std::chrono::seconds(2), [&](const FleetAnswer &answer) {
                takesCalls = answer.result == CallResult::Document;
            });
            if (takesCalls)
                return core.get();
        }
        return nullptr;
    }

    void runLeaderOnce() { leader().loop.runOnce(std::chrono::milliseconds(1)); }

    void replace(const std::string &document)
    {
        FleetCall call;
        call.kind = CallKind::ReplaceConfiguration;
        call.document = document;
        leader().node->call(call, std::chrono::seconds(2), [this](const FleetAnswer &answer) {
            m_answers.push_back(answer.result);
        });
    }

    void untilAnswers(const std::vector<CallResult> &expected)
    {
        until([&] { return m_answers.size() >= expected.size(); });
        CPPUNIT_ASSERT_EQUAL(namesOf(expected), namesOf(m_answers));
    }

    static std::string namesOf(const std::vector<CallResult> &results)
    {
        std::string names;
        for (const CallResult each : results)
            names.append(nameOf(each)).append(" ");
        return names;
    }

    /// The configuration in force, as the fleet answers it.
    std::string document()
    {
        FleetCall call;
        call.kind = CallKind::ReadConfiguration;
        FleetAnswer answer;
        until([&] {
            answer = send(call);
            return answer.result != CallResult::Unavailable;
        });
        return answer.text;
    }

    /// Number of commands in all entries that leaders of this test committed.
    double committedCommands()
    {
        const std::string text = m_metrics.exposition();
        const std::string name = "\nguavashift_fleet_commit_commands_sum ";
        const std::size_t found = text.find(name);
        CPPUNIT_ASSERT(found != std::string::npos);
        return std::stod(text.substr(found + name.size()));
    }

    Hosted<CoreNode> *m_leader = nullptr;
    std::vector<CallResult> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationResendTest);
