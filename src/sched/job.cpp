#include "chicorylift/sched/job.hpp"

#include "chicorylift/core/error.hpp"

#include <array>

namespace chicorylift::sched
{

namespace
{

constexpr std::array<std::string_view, 3> priority_class_names{"urgent", "standard", "batch"};
constexpr std::array<std::string_view, 5> phase_names{"queued", "waiting_for_reclaim", "starting",
                                                      "running", "stopping"};
constexpr std::array<std::string_view, 7> wait_reason_texts{
    "the job is not waiting",
    "no scheduling pass has reached the job yet",
    "starting the job would exceed its organisation's limit",
    "no worker, rack or zone has room for the whole gang",
    "the room is kept for a job that has waited longer",
    "other work is being stopped to make room",
    "the workers that could run it have been lost",
};

} // namespace

std::string_view to_text(priority_class priority) noexcept
{
    return priority_class_names[static_cast<std::size_t>(priority)];
}

absl::StatusOr<priority_class> parse_priority_class(std::string_view text)
{
    for (std::size_t index = 0; index < priority_class_names.size(); ++index)
    {
        if (priority_class_names[index] == text)
        {
            return static_cast<priority_class>(index);
        }
    }
    return core::make_error(core::error_kind::invalid_request,
                            "class \"" + std::string(text) +
                                "\" does not exist; allowed are urgent, standard, batch");
}

std::string_view to_text(job_phase phase) noexcept
{
    return phase_names[static_cast<std::size_t>(phase)];
}

std::string_view to_text(wait_reason reason) noexcept
{
    return wait_reason_texts[static_cast<std::size_t>(reason)];
}

} // namespace chicorylift::sched
