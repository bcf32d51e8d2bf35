#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace galenaroad {

/// A process that the soak started; it is ended by its id only.
class soak_process {
public:
    /// @param program path of the program.
    /// @param arguments its arguments.
    /// @param log_path file for its output.
    soak_process(std::string program, std::vector<std::string> arguments, std::string log_path);
    soak_process(const soak_process&) = delete;
    soak_process& operator=(const soak_process&) = delete;
    soak_process(soak_process&&) = delete;
    soak_process& operator=(soak_process&&) = delete;

    /// Kills the process and waits for its end.
    ~soak_process();

    /// Starts the process unless it runs.
    void start();

    /// Sends a signal to the process if it runs.
    void signal(int number) const;

    /// @return true while it runs; collects its exit status otherwise.
    bool is_running();

private:
    std::string m_program;
    std::vector<std::string> m_arguments;
    std::string m_log_path;
    pid_t m_pid = 0;
};

} // namespace galenaroad
