#include "decisions.hpp"

#include <iostream>
#include <string>

int main(int argument_count, char** arguments)
{
    using namespace chicorylift::benchmark;
    constexpr int usage_error = 2;
    const std::string what = argument_count > 1 ? arguments[1] : "";
    if (what == "decisions")
    {
        return run_decisions();
    }
    if (what == "cost")
    {
        return run_cost();
    }
    if (what == "load")
    {
        return run_load(argument_count - 1, arguments + 1);
    }
    if (what == "large-jobs")
    {
        return run_large_jobs();
    }
    std::cerr << "bench: unknown measurement \"" << what
              << "\"; allowed are decisions, cost, load, large-jobs\n";
    return usage_error;
}
