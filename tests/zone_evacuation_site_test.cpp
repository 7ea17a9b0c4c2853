#include "support/virtual_site.hpp"

#include <doctest/doctest.h>
#include <string>

/// Evacuation of availability zones on whole sites in virtual time.
namespace
{

using namespace chicorylift;
using namespace chicorylift::batch;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::one_step_job;
using testing::virtual_site;

queue_policy queue_with(std::int64_t priority)
{
    queue_policy policy;
    policy.queue = queue_id("q" + std::to_string(priority));
    policy.service = core::service_id("service");
    policy.priority = priority;
    policy.max_attempts = 3;
    policy.max_slowdown = 3;
    policy.latency_allowance = milliseconds{1500};
    return policy;
}

/// Submits single units and gangs of all priorities.
void add_load(virtual_site& site, int jobs, milliseconds span)
{
    const auto below = [&site](std::int64_t bound)
    { return static_cast<std::int64_t>(site.random()() % static_cast<std::uint32_t>(bound)); };
    site.set_terms({}, {{core::organisation_id("owner"), 24}});
    for (int number = 0; number < jobs; ++number)
    {
        const milliseconds length{500 + below(4000)};
        step_spec step;
        step.units = 1 + below(4);
        step.per_unit = {3000, 8000, 1 << below(4)};
        step.gang = below(2) == 0;
        step.estimate = length;
        step.rack_local = step.gang && below(2) == 0;
        step.checkpointing = below(2) == 0;
        site.submit(milliseconds{2000 + below(span.count())},
                    one_step_job("job" + std::to_string(number), below(2) == 0 ? "owner" : "x",
                                 queue_with(below(3)), step),
                    {{length}});
    }
}

void check_kept(const virtual_site& site)
{
    for (const std::string& violation : site.violations())
    {
        FAIL_CHECK(violation);
    }
    for (const auto& each : site.results())
    {
        CAPTURE(each.first.str());
        CHECK(each.second.ended.has_value());
    }
}

testing::site_shape zoned_shape(int zones)
{
    testing::site_shape shape;
    shape.zones = zones;
    return shape;
}

// Guards against EVAC, LOST and TWICE amid everything that may happen during an evacuation.
TEST_CASE("sites evacuate zones amid faults without late starts, lost jobs or standstill")
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        CAPTURE(seed);
        virtual_site site(seed, zoned_shape(4));
        add_load(site, 60, seconds{30});
        const auto below = [&site](std::int64_t bound)
        { return static_cast<std::int64_t>(site.random()() % static_cast<std::uint32_t>(bound)); };
        for (int request = 0; request < 4; ++request)
        {
            const milliseconds at{4000 + below(22'000)};
            const std::string zone = "zone" + std::to_string(below(3));
            // Some are withdrawn at once, and some overlap with others.
            const milliseconds held{below(3) == 0 ? below(50) : 500 + below(9000)};
            site.evacuate(at, zone, milliseconds{10 + below(900)});
            site.restore(at + held, zone);
        }
        for (int fault = 0; fault < static_cast<int>(seed % 5); ++fault)
        {
            const milliseconds at{4000 + below(24'000)};
            const auto worker = static_cast<int>(below(12));
            switch (below(6))
            {
            case 0:
                site.cut(at, worker, milliseconds{200 + below(5000)});
                break;
            case 1:
                site.reboot(at, worker);
                break;
            case 2:
                site.restart_agent(at, worker);
                break;
            case 3:
                site.replace_leader(at, milliseconds{below(1500)});
                break;
            case 4:
                site.delay_starts(at, 0.3, milliseconds{200 + below(4000)});
                break;
            default:
                site.store_out(at, milliseconds{200 + below(3000)});
                break;
            }
        }
        site.play(seconds{200});
        check_kept(site);
    }
}

TEST_CASE("a leader that takes over during an evacuation starts nothing in the zone")
{
    for (const milliseconds gap : {milliseconds{0}, milliseconds{300}, milliseconds{2000}})
    {
        CAPTURE(gap.count());
        virtual_site site(7, zoned_shape(2));
        add_load(site, 40, seconds{20});
        // The leader is lost before it reads the row, and once more while the zone is evacuated.
        site.evacuate(milliseconds{6000}, "zone0", seconds{60});
        site.replace_leader(milliseconds{6005}, gap);
        site.replace_leader(milliseconds{9000}, gap);
        site.restore(milliseconds{18'000}, "zone0");
        // And as the request is withdrawn.
        site.replace_leader(milliseconds{18'005}, gap);
        site.play(seconds{120});
        check_kept(site);
        CHECK(site.starts_in_evacuated_zones() <= 2);
    }
}

} // namespace
