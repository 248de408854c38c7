#include <Guavashift/Core/Log.h>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <iostream>

/// Runs all registered tests, or those whose names contain the first argument.
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
    const std::string filter = argc > 1 ? argv[1] : "";
    for (int i = 0; i < all->getChildTestCount(); ++i) {
        CppUnit::Test *suite = all->getChildTestAt(i);
        for (int j = 0; j < suite->getChildTestCount(); ++j) {
            CppUnit::Test *test = suite->getChildTestAt(j);
            if (test->getName().find(filter) != std::string::npos)
                test->run(&controller);
        }
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() ? 0 : 1;
}
