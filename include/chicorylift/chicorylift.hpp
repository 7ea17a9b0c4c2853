#pragma once

/// Includes the whole scheduling core; its decisions depend only on state, events and a given time.

#include "chicorylift/admit/call_admission.hpp"
#include "chicorylift/admit/part_table.hpp"
#include "chicorylift/core/bounded_queue.hpp"
#include "chicorylift/core/error.hpp"
#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/registry.hpp"
#include "chicorylift/core/resources.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/gang/gang_driver.hpp"
#include "chicorylift/quota/quota.hpp"
#include "chicorylift/route/call_router.hpp"
#include "chicorylift/sched/cell_scheduler.hpp"
#include "chicorylift/sched/job.hpp"
#include "chicorylift/sched/run_time_estimator.hpp"
#include "chicorylift/sched/scheduling_policy.hpp"
