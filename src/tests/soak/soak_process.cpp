#include "soak/soak_process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenaroad {

soak_process::soak_process(std::string program, std::vector<std::string> arguments,
                           std::string log_path)
    : m_program(std::move(program)),
      m_arguments(std::move(arguments)),
      m_log_path(std::move(log_path))
{
}

soak_process::~soak_process()
{
    signal(SIGKILL);
    if (m_pid > 0) {
        waitpid(m_pid, nullptr, 0);
    }
}

void soak_process::start()
{
    if (is_running()) {
        return;
    }
    std::vector<char*> arguments{m_program.data()};
    for (auto& each : m_arguments) {
        arguments.push_back(each.data());
    }
    arguments.push_back(nullptr);
    m_pid = fork();
    if (m_pid < 0) {
        throw std::runtime_error("cannot start " + m_program);
    }
    if (m_pid == 0) {
        const int log = open(m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // No daemon outlives a soak that ends unexpectedly.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(m_program.c_str(), arguments.data());
        _exit(127);
    }
}

void soak_process::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

bool soak_process::is_running()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid > 0;
}

} // namespace galenaroad
