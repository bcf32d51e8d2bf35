#include "settings/source_error.h"

namespace galenaroad {

std::string to_text(const source_error& error)
{
    return error.file + ':' + std::to_string(error.line) + ':' + std::to_string(error.column) +
           ": " + error.message;
}

} // namespace galenaroad
