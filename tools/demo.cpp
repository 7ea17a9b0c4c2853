#include "chicorylift/core/error.hpp"
#include "support/site.hpp"
#include "wire/json.hpp"

#include <atomic>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

/// Starts a site of real processes and sends it a workload file, then accounts for everything.
namespace
{

using namespace chicorylift;
using testing::recorded_run;
using testing::site;
using testing::site_options;

constexpr core::milliseconds ready_patience{30'000};
constexpr core::milliseconds job_patience{90'000};
constexpr int workers = 11;
constexpr int callers = 8;

/// How the requests of one organisation ended.
struct tally
{
    int calls{};
    int answered{};
    int not_run{};
    int unknown{};
    int jobs{};
    std::map<std::string, int> job_states;
};

struct sent_job
{
    std::string organisation;
    std::string kind;
    std::string id;
};

class demo
{
public:
    demo(const site_options& options, const std::string& folder, const std::string& user)
        : place(options), config(folder + "/" + user + ".config"),
          workload(folder + "/" + user + ".workload")
    {
    }

    int run()
    {
        this->configure();
        if (!this->place.wait_ready(ready_patience))
        {
            std::cerr << "the site is not ready\n";
            return 1;
        }
        std::cout << "site ready: 2 entries, " << workers << " workers, preset ordinary\n";
        std::ifstream file(this->workload);
        std::string line;
        while (std::getline(file, line))
        {
            if (!line.empty() && line.front() != '#')
            {
                std::cout << "> " << line << '\n';
                this->play(line);
            }
        }
        this->wait_for_jobs();
        return this->report();
    }

private:
    void configure()
    {
        std::ifstream file(this->config);
        std::string what;
        while (file >> what)
        {
            std::string document;
            std::getline(file, document);
            const auto answer =
                this->place.request(0, site::operator_token, "PUT", "/v1/config/" + what, document);
            this->expect(answer, what);
        }
        this->expect(this->place.use_preset(0, "ordinary", "demo"), "use ordinary");
    }

    void expect(const absl::StatusOr<net::client_response>& answer, const std::string& what)
    {
        if (!answer.ok() || answer->status != 200)
        {
            ++this->faults;
            std::cerr << what << ": "
                      << (answer.ok() ? answer->body : std::string(answer.status().message()))
                      << '\n';
        }
    }

    void play(const std::string& line)
    {
        std::istringstream words(line);
        std::string what;
        words >> what;
        if (what == "calls")
        {
            this->play_calls(words);
        }
        else if (what == "jobs")
        {
            this->play_jobs(words);
        }
        else if (what == "switch")
        {
            std::string preset;
            words >> preset;
            this->expect(this->place.use_preset(1, preset, "demo"), "use " + preset);
        }
        else
        {
            ++this->faults;
            std::cerr << "workload: line \"" << line << "\" does not begin with calls, jobs or "
                      << "switch\n";
        }
    }

    void play_calls(std::istringstream& words)
    {
        std::string organisation;
        std::string kind;
        std::string repeat;
        int count = 0;
        words >> organisation >> kind >> count >> repeat;
        const std::string prefix = kind + "-" + std::to_string(++this->batches) + "-";
        std::atomic<int> next = 0;
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int caller = 0; caller < callers; ++caller)
        {
            threads.emplace_back(
                [&, caller]
                {
                    for (int number = next++; number < count; number = next++)
                    {
                        this->call(organisation, prefix + std::to_string(number),
                                   repeat == "idempotent", (caller + number) % 2);
                    }
                });
        }
        for (std::thread& thread : threads)
        {
            thread.join();
        }
    }

    void call(const std::string& organisation, const std::string& body, bool idempotent, int entry)
    {
        std::vector<net::http_header> headers{{"X-Idempotent", idempotent ? "true" : "false"}};
        if (!idempotent)
        {
            headers.push_back({"Idempotency-Key", body});
        }
        const auto answer = this->place.call(entry, organisation, body, headers);
        wire::error_document error;
        const std::lock_guard lock(this->guard);
        tally& sum = this->tallies[organisation];
        ++sum.calls;
        if (answer.ok() && answer->status == 200)
        {
            ++sum.answered;
            this->faults += answer->body == "answer to " + body ? 0 : 1;
            return;
        }
        const bool told = answer.ok() && wire::from_json_lenient(answer->body, error).ok();
        const bool not_run = told && error.work() == "not_run";
        not_run ? ++sum.not_run : ++sum.unknown;
        if (not_run)
        {
            this->bodies_not_run.push_back(body);
        }
    }

    void play_jobs(std::istringstream& words)
    {
        std::string organisation;
        std::string kind;
        std::string size;
        std::string flags;
        int count = 0;
        std::uint32_t run_ms = 0;
        wire::job_request job;
        words >> organisation >> kind >> count >> *job.mutable_class_() >> size >>
            *job.mutable_within() >> flags >> run_ms;
        const std::size_t cross = size.find('x');
        const auto each = static_cast<std::uint32_t>(std::stoul(size.substr(cross + 1)));
        job.set_kind(kind);
        job.set_tasks(static_cast<std::uint32_t>(std::stoul(size.substr(0, cross))));
        job.mutable_per_task()->set_accelerators(each);
        job.mutable_per_task()->set_cores(each * 3);
        job.mutable_per_task()->set_memory_gb(each * 12);
        job.set_idempotent(flags.find('i') != std::string::npos);
        job.set_checkpointable(flags.find('c') != std::string::npos);
        job.set_declared_run_time_ms(run_ms);
        for (int number = 0; number < count; ++number)
        {
            tally& sum = this->tallies[organisation];
            ++sum.jobs;
            const auto accepted = this->place.submit(number % 2, organisation, job);
            if (accepted.ok())
            {
                this->jobs.push_back({organisation, kind, accepted->id()});
                continue;
            }
            ++sum.job_states[std::string(
                core::descriptor_for(core::kind_of(accepted.status())).name)];
            std::cout << "  refused, not run: " << accepted.status().message() << '\n';
        }
    }

    void wait_for_jobs()
    {
        for (const sent_job& sent : this->jobs)
        {
            const std::string state = this->place.wait_job(sent.id, job_patience);
            const bool ended = state != "accepted" && state != "committed" && !state.empty();
            this->faults += ended ? 0 : 1;
            ++this->tallies[sent.organisation].job_states[ended ? state : "NOT ENDED"];
        }
    }

    int report()
    {
        std::cout << '\n'
                  << std::left << std::setw(14) << "ORGANISATION" << std::setw(8) << "CALLS"
                  << std::setw(10) << "ANSWERED" << std::setw(9) << "NOT RUN" << std::setw(9)
                  << "UNKNOWN" << std::setw(6) << "JOBS"
                  << "HOW THEY ENDED\n";
        for (const auto& [organisation, sum] : this->tallies)
        {
            std::cout << std::setw(14) << organisation << std::setw(8) << sum.calls << std::setw(10)
                      << sum.answered << std::setw(9) << sum.not_run << std::setw(9) << sum.unknown
                      << std::setw(6) << sum.jobs;
            for (const auto& [state, count] : sum.job_states)
            {
                std::cout << state << ' ' << count << "  ";
            }
            std::cout << '\n';
        }
        for (const std::string& body : this->bodies_not_run)
        {
            this->faults += this->place.times_run("call", body) > 0 ? 1 : 0;
        }
        std::cout << "\nrequests and jobs not accounted for: " << this->faults << '\n';
        return this->faults == 0 ? 0 : 1;
    }

    site place;
    std::string config;
    std::string workload;
    std::mutex guard;
    std::map<std::string, tally> tallies;
    std::vector<sent_job> jobs;
    std::vector<std::string> bodies_not_run;
    int batches = 0;
    int faults = 0;
};

} // namespace

int main(int argument_count, char** arguments)
{
    constexpr int usage_error = 2;
    const std::string user = argument_count > 1 ? arguments[1] : "menhely";
    const std::string folder = argument_count > 2 ? arguments[2] : "examples";
    site_options options;
    options.workers = workers;
    options.organisations = {"intake", "matching", "cleanup", "research"};
    if (user == "shabdajaal")
    {
        options.service = "submission-desk";
        options.region = "bengal-kolkata";
        options.zone = "kolkata-salt-lake";
        options.organisations = {"press", "setters", "scoring", "archive"};
    }
    else if (user != "menhely")
    {
        std::cerr << "demo: user \"" << user << "\" does not exist; allowed are menhely, "
                  << "shabdajaal\n";
        return usage_error;
    }
    return demo(options, folder, user).run();
}
