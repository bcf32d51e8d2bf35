#include "ctl/ctl_program.h"

#include <iostream>

int main(int argc, char** argv)
{
    const auto options = galenaroad::ctl_options::parse(argc, argv);
    const auto report = galenaroad::ctl_program().run(options);
    report.print(options.json_output, std::cout, std::cerr);
    return report.exit_code();
}
