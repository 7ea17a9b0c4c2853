#include "support/process.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace chicorylift::testing
{

namespace
{

constexpr int cannot_start = 127;
constexpr int signal_base = 128;

[[noreturn]] void run_child(const std::vector<std::string>& arguments, const std::string& log_path)
{
    // Children end with the test, even when the test is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // A listener of a stand-in would stay open in the child after the stand-in has closed it.
    ::closefrom(STDERR_FILENO + 1);
    // The test's own handlers aren't for a child that is ended before it becomes the program.
    std::signal(SIGTERM, SIG_DFL);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments)
    {
        raw.push_back(const_cast<char*>(argument.c_str()));
    }
    raw.push_back(nullptr);
    ::execv(raw[0], raw.data());
    ::_exit(cannot_start);
}

} // namespace

process::process(std::vector<std::string> arguments, std::string log_path)
    : arguments(std::move(arguments)), log_path(std::move(log_path))
{
    this->start();
}

process::~process()
{
    if (this->is_running())
    {
        this->kill_now();
    }
}

process::process(process&& other) noexcept
    : arguments(std::move(other.arguments)), log_path(std::move(other.log_path)),
      pid(std::exchange(other.pid, -1))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(this->arguments, other.arguments);
    std::swap(this->log_path, other.log_path);
    std::swap(this->pid, other.pid);
    return *this;
}

void process::restart()
{
    if (this->is_running())
    {
        throw std::logic_error("process " + std::to_string(this->pid) + " still runs");
    }
    this->start();
}

void process::signal(int number) const
{
    if (this->is_running())
    {
        ::kill(this->pid, number);
    }
}

void process::kill_now()
{
    this->signal(SIGKILL);
    this->wait();
}

int process::stop()
{
    this->signal(SIGTERM);
    return this->wait();
}

std::string process::output() const
{
    std::ifstream file(this->log_path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void process::start()
{
    sigset_t stops;
    sigset_t before;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    ::pthread_sigmask(SIG_BLOCK, &stops, &before);
    this->pid = ::fork();
    if (this->pid == 0)
    {
        run_child(this->arguments, this->log_path);
    }
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
    if (this->pid < 0)
    {
        throw std::runtime_error("cannot start " + this->arguments.front());
    }
}

int process::wait()
{
    if (!this->is_running())
    {
        return 0;
    }
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
}

std::string free_address()
{
    // Below the range of ephemeral ports: a port there could be taken by somebody's outgoing
    // connection while its process is down, and the restart would fail.
    constexpr int first_port = 10'000;
    constexpr int port_count = 22'000;
    constexpr int ports_per_process = 400;
    static std::atomic<int> next =
        ::getpid() % (port_count / ports_per_process) * ports_per_process;
    for (int attempt = 0; attempt < port_count; ++attempt)
    {
        const int port = first_port + next++ % port_count;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool is_free =
            ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (is_free)
        {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no loopback port is free");
}

} // namespace chicorylift::testing
