#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

/// Helpers of process sessions: real daemons, stand-ins and what goes wrong between them.
namespace chicorylift::testing
{

/// One child process; its output goes to a file.
class process
{
public:
    process() = default;
    /// Starts @p arguments, whose first is the program's path.
    process(std::vector<std::string> arguments, std::string log_path);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Starts the same command again after it has ended.
    void restart();
    /// Sends a signal.
    void signal(int number) const;
    /// Kills the process without warning and waits for it.
    void kill_now();
    /// Asks for a planned stop and waits for it.
    /// @return the exit code, or 128 plus the signal's number.
    int stop();
    /// @return whether the process has not been waited for.
    [[nodiscard]] bool is_running() const noexcept { return this->pid > 0; }
    /// @return the process id.
    [[nodiscard]] pid_t id() const noexcept { return this->pid; }
    /// @return all that the process has printed.
    [[nodiscard]] std::string output() const;

private:
    void start();
    int wait();

    std::vector<std::string> arguments;
    std::string log_path;
    pid_t pid = -1;
};

/// @return a loopback address with a port that was free a moment ago.
[[nodiscard]] std::string free_address();

} // namespace chicorylift::testing
