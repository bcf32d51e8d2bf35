#pragma once

namespace galenaroad {

/// Severity of a log entry, least severe first.
enum class log_level { debug, info, warning, error };

} // namespace galenaroad
