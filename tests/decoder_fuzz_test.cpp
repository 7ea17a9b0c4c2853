#include "net/request_head.hpp"
#include "platform/http_codec.hpp"
#include "platform/json_reader.hpp"
#include "site/job_view.hpp"
#include "site/row_codec.hpp"
#include "wire/wire.pb.h"

#include <chrono>
#include <cstdlib>
#include <doctest/doctest.h>
#include <exception>
#include <filesystem>
#include <fstream>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <iterator>
#include <random>

/// Seeded runs of the decoders on changed inputs. They guard against a decoder that throws, ends
/// the process, or hangs. CHICORYLIFT_FUZZ=SEED,SECONDS runs longer; an input that failed is
/// written to tests/fuzz_inputs and decoded in every run from then on.
namespace
{

using namespace chicorylift;

constexpr std::size_t max_json_values = 262'144;

void decode_head(const std::string& input)
{
    net::request_head head;
    static_cast<void>(net::parse_request_head(input, {100, 262'144}, head));
    static_cast<void>(platform::parse_call(head.request));
    static_cast<void>(platform::parse_timeout(head.request));
    static_cast<void>(platform::parse_agent_request(head.request));
}

void decode_job(const std::string& input)
{
    const auto job = platform::parse_job(input, max_json_values);
    if (job.ok())
    {
        static_cast<void>(site::to_row(*job).SerializeAsString());
    }
}

void decode_config(const std::string& input)
{
    static_cast<void>(platform::parse_config(input));
}

void decode_announcement(const std::string& input)
{
    static_cast<void>(platform::parse_announcement("worker", input, max_json_values));
}

void decode_row(const std::string& input)
{
    const std::string id = "0123456789abcdef";
    site::job_view view;
    for (const char* suffix : {"/accepted", "/progress", "/cancel"})
    {
        ports::row row;
        row.id = {site::job_table, site::site_partition, id + suffix};
        row.version = 1;
        row.value = input;
        view.apply(row, core::instant{});
        static_cast<void>(site::parse_job(row));
    }
    wire::batch_progress progress;
    if (progress.ParseFromString(input))
    {
        static_cast<void>(site::from_row(progress));
    }
    ports::row member;
    member.id = {site::member_table, "", "agent-0"};
    member.value = input;
    static_cast<void>(site::parse_member(member));
}

void decode_message(const std::string& input)
{
    wire::envelope message;
    if (message.ParseFromString(input) && message.has_unit_report())
    {
        static_cast<void>(site::from_message(message.unit_report()));
    }
}

std::string sample_row()
{
    wire::batch_job job;
    job.set_id("0123456789abcdef");
    job.set_organisation("a");
    job.mutable_terms()->set_queue("q");
    job.set_payload("1");
    wire::batch_step& step = *job.add_steps();
    step.set_units(2);
    step.mutable_per_unit()->set_accelerators(1);
    job.add_steps()->add_after(0);
    job.mutable_steps(1)->set_units(1);
    return job.SerializeAsString();
}

std::string sample_message()
{
    wire::envelope message;
    message.set_from("127.0.0.1:1");
    wire::batch_report& report = *message.mutable_unit_report();
    report.set_agent("agent-0");
    report.mutable_worker()->set_id("i-0");
    wire::batch_run& run = *report.add_runs();
    run.set_unit("0123456789abcdef.0.0.0");
    run.set_run(1);
    wire::batch_end& end = *report.add_ends();
    end.set_unit("0123456789abcdef.0.0.1");
    end.set_kind(wire::BATCH_END_DONE);
    return message.SerializeAsString();
}

struct decoder
{
    const char* name;
    void (*decode)(const std::string&);
    std::vector<std::string> samples;
};

std::vector<decoder> decoders()
{
    const std::string head = "POST /q/0123456789abcdef?x=1 HTTP/1.1\r\nHost: jobs.example\r\n"
                             "X-Api-Key: key-a\r\nChicorylift-Deadline-Ms: 3000\r\n"
                             "Content-Length: 12\r\nExpect: 100-continue\r\n\r\n";
    const std::string chunked =
        "PUT /v1/instances/i-0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3e8\r\nxxx\r\n0\r\n\r\n";
    return {
        {"head", decode_head, {head, chunked, "GET / HTTP/1.0\r\nConnection: close\r\n\r\n"}},
        {"job",
         decode_job,
         {R"({"spec":"1","steps":[{"count":2,"cpu":1,"memMb":1,"gpu":1,"estimateMs":5,"gang":true},)"
          R"({"after":[0],"requiredLabel":"a","antiAffinity":1,"missAllowance":0}],"maxRuns":3,)"
          R"("initialDelayMs":1,"intervalMs":5})"}},
        {"config",
         decode_config,
         {R"({"version":3,"routes":[{"name":"q","host":"h","pathPrefix":"/q/","priority":0,)"
          R"("service":"s","attempts":2,"slowdown":2.5,"public":false}],"limits":{)"
          R"("maxHeaderBytes":16384},"tenants":[{"name":"a","apiKeys":["k"],"guaranteed":{"gpu":8}}]})"}},
        {"announcement",
         decode_announcement,
         {R"({"service":"s","zone":"z","born":5,"state":"ready","seq":7,"labels":["a","r"],)"
          R"("capacity":{"cpu":1,"memMb":2,"gpu":8}})"}},
        {"row", decode_row, {sample_row()}},
        {"message", decode_message, {sample_message()}},
    };
}

/// @return the input with a few changes of kinds that decoders are prone to mishandle.
std::string mutate(std::string input, std::mt19937_64& random)
{
    static const std::vector<std::string> tokens{"-1",
                                                 "18446744073709551616",
                                                 "9223372036854775807",
                                                 "1e999",
                                                 "\"",
                                                 "\\u0000",
                                                 "\\ud800",
                                                 "[[[[[[[[",
                                                 "{\"a\":",
                                                 "null",
                                                 "\r\n",
                                                 "\r\n\r\n",
                                                 ":",
                                                 std::string(1, '\0'),
                                                 "\xff\xff\xff\xff\x0f",
                                                 "Content-Length: 99999999999999999999\r\n",
                                                 "chunked"};
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes; ++change)
    {
        const std::size_t place = input.empty() ? 0 : random() % (input.size() + 1);
        const std::size_t length = input.empty() ? 0 : random() % 16;
        switch (random() % 6)
        {
        case 0:
            input.insert(place, tokens[random() % tokens.size()]);
            break;
        case 1:
            input.erase(place, length);
            break;
        case 2:
            input.insert(place, input.substr(place, length));
            break;
        case 3:
            input.resize(place);
            break;
        case 4:
            input.insert(place, 1 + random() % 64, static_cast<char>(random()));
            break;
        default:
            if (place < input.size())
            {
                input[place] = static_cast<char>(random());
            }
            break;
        }
    }
    return input;
}

/// @return whether the decoder returned; an input on which it threw is kept.
bool decodes(const decoder& each, const std::string& input, const std::string& kept_as)
{
    try
    {
        each.decode(input);
        return true;
    }
    catch (const std::exception& fault)
    {
        const std::string path = std::string(CHICORYLIFT_FUZZ_INPUTS) + "/" + kept_as;
        std::ofstream(path, std::ios::binary) << input;
        FAIL_CHECK(each.name << " threw \"" << fault.what() << "\"; the input is kept in " << path);
        return false;
    }
}

TEST_CASE("decoders return on changed inputs")
{
    google::protobuf::SetLogHandler(nullptr);
    std::uint64_t seed = 1;
    std::int64_t seconds = 2;
    if (const char* const given = std::getenv("CHICORYLIFT_FUZZ"))
    {
        char* rest = nullptr;
        seed = std::strtoull(given, &rest, 10);
        seconds = *rest == ',' ? std::atoll(rest + 1) : seconds;
    }
    const std::vector<decoder> all = decoders();
    std::mt19937_64 random(seed);
    std::uint64_t inputs = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{seconds};
    while (std::chrono::steady_clock::now() < end)
    {
        for (const decoder& each : all)
        {
            const std::string input = mutate(each.samples[random() % each.samples.size()], random);
            ++inputs;
            if (!decodes(each, input,
                         std::string(each.name) + "-" + std::to_string(seed) + "-" +
                             std::to_string(inputs)))
            {
                return;
            }
        }
    }
    std::cout << "decoders returned on " << inputs << " inputs of seed " << seed << '\n';
    CHECK(inputs > 0);
}

TEST_CASE("decoders return on the inputs that failed before")
{
    const std::vector<decoder> all = decoders();
    for (const auto& file : std::filesystem::directory_iterator(CHICORYLIFT_FUZZ_INPUTS))
    {
        const std::string name = file.path().filename();
        std::ifstream text(file.path(), std::ios::binary);
        const std::string input{std::istreambuf_iterator<char>(text), {}};
        for (const decoder& each : all)
        {
            if (name.starts_with(std::string(each.name) + "-"))
            {
                CAPTURE(name);
                CHECK_NOTHROW(each.decode(input));
            }
        }
    }
}

} // namespace
