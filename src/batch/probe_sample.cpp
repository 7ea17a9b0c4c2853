#include "chicorylift/batch/probe_sample.hpp"

#include <algorithm>

namespace chicorylift::batch
{

std::vector<std::size_t> probe_sample(std::size_t members, std::size_t self)
{
    std::vector<std::size_t> sample;
    const std::size_t others = members == 0 ? 0 : members - 1;
    const std::size_t count = std::min(others, probe_sample_size);
    for (std::size_t number = 0; number < count; ++number)
    {
        const std::size_t offset = 1 + number * others / count;
        sample.push_back((self + offset) % members);
    }
    return sample;
}

} // namespace chicorylift::batch
