#include "support/golden.hpp"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

namespace chicorylift::testing
{

namespace
{

std::string first_difference(const std::string& expected, const std::string& actual)
{
    std::istringstream wanted(expected);
    std::istringstream got(actual);
    std::string wanted_line;
    std::string got_line;
    for (int line = 1;; ++line)
    {
        const bool more_wanted = static_cast<bool>(std::getline(wanted, wanted_line));
        const bool more_got = static_cast<bool>(std::getline(got, got_line));
        if (!more_wanted && !more_got)
        {
            return "the files differ in line ends";
        }
        if (more_wanted != more_got || wanted_line != got_line)
        {
            return "line " + std::to_string(line) + ": golden has \"" +
                   (more_wanted ? wanted_line : "<end>") + "\", the session gave \"" +
                   (more_got ? got_line : "<end>") + "\"";
        }
    }
}

} // namespace

std::string compare_golden(const std::string& name, const std::string& transcript)
{
    const std::string path = std::string(CHICORYLIFT_GOLDEN) + "/" + name + ".txt";
    if (std::getenv("CHICORYLIFT_UPDATE_GOLDEN") != nullptr)
    {
        std::ofstream(path) << transcript;
        return "";
    }
    std::ifstream file(path);
    const std::string expected{std::istreambuf_iterator<char>(file), {}};
    return expected == transcript ? "" : first_difference(expected, transcript);
}

} // namespace chicorylift::testing
