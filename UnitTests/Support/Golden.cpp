#include <UnitTests/Support/Golden.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace guavashift {

std::string compareWithGolden(const std::string &name, const std::string &transcript)
{
    const std::string path = std::string(GUAVASHIFT_GOLDEN_FOLDER) + "/" + name;
    if (std::getenv("GUAVASHIFT_UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << transcript;
        return {};
    }
    std::ifstream stream(path);
    if (!stream)
        return "there is no golden file " + name;
    std::istringstream actual(transcript);
    std::string expectedLine;
    std::string actualLine;
    for (int number = 1;; ++number) {
        const bool moreExpected = static_cast<bool>(std::getline(stream, expectedLine));
        const bool moreActual = static_cast<bool>(std::getline(actual, actualLine));
        if (!moreExpected && !moreActual)
            return {};
        if (moreExpected != moreActual || expectedLine != actualLine)
            return name + ":" + std::to_string(number) + ": expected '"
                + (moreExpected ? expectedLine : "end") + "', got '"
                + (moreActual ? actualLine : "end") + "'";
    }
}

} // namespace guavashift
