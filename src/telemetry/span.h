#pragma once

#include "base/clock.h"
#include "telemetry/trace_context.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace galenaroad {

/// Role of a span in a call. The values are those of OTLP.
enum class span_kind { internal = 1, server = 2, client = 3 };

/// Value of a span's attribute.
using attribute_value = std::variant<std::string, std::int64_t, bool>;

/// A finished piece of work within a trace. Built by span_builder.
struct span {
    trace_context context;
    std::string name;
    span_kind kind = span_kind::internal;
    system_time start;
    system_time end;
    std::vector<std::pair<std::string, attribute_value>> attributes;
    std::string error; ///< Empty when the work succeeded.
};

} // namespace galenaroad
