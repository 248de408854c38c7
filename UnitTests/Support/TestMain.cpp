#include <Guavashift/Core/Log.h>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

/// Runs all registered tests, or those whose names contain the first argument. An argument "-NAME"
/// leaves out the tests whose names contain NAME.
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    guavashift::setLogLevel(guavashift::LogLevel::Error);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    CppUnit::Test *all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto isSelected = [&](const std::string &name) {
        for (std::size_t i = 0; i < arguments.size(); ++i) {
            const bool leavesOut = arguments[i].starts_with('-');
            if (leavesOut && name.find(arguments[i].substr(1)) != std::string::npos)
                return false;
            if (!leavesOut && i == 0 && name.find(arguments[i]) == std::string::npos)
                return false;
        }
        return true;
    };
    for (int i = 0; i < all->getChildTestCount(); ++i) {
        CppUnit::Test *suite = all->getChildTestAt(i);
        for (int j = 0; j < suite->getChildTestCount(); ++j) {
            CppUnit::Test *test = suite->getChildTestAt(j);
            if (isSelected(test->getName()))
                test->run(&controller);
        }
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() ? 0 : 1;
}
