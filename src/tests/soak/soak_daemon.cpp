#include "base/process_clock.h"
#include "platform_program.h"

#include <fstream>
#include <string>

namespace {

using namespace galenaroad;

/// Clock whose time of day is stepped by the number of milliseconds in a file.
class stepped_clock : public clock {
public:
    explicit stepped_clock(std::string path) : m_path(std::move(path)) {}

    steady_time steady_now() const override { return m_clock.steady_now(); }

    system_time system_now() const override
    {
        std::ifstream file(m_path);
        std::chrono::milliseconds::rep step = 0;
        file >> step;
        return m_clock.system_now() + std::chrono::milliseconds(step);
    }

private:
    process_clock m_clock;
    std::string m_path;
};

} // namespace

/// The platform's program with a clock that the soak steps. Its settings file is named
/// `NAME.yaml`, the file with the step `NAME.clock`.
int main(int count, char** arguments)
{
    std::string path;
    for (int index = 1; index + 1 < count; ++index) {
        if (std::string(arguments[index]) == "--settings") { // NOLINT(*-pointer-arithmetic)
            path = arguments[index + 1];                     // NOLINT(*-pointer-arithmetic)
        }
    }
    const stepped_clock time(path.substr(0, path.rfind('.')) + ".clock");
    return platform_program::main(count, arguments, time);
}
