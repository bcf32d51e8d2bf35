#pragma once

#include "net/header_field.h"

#include <Poco/Net/MessageHeader.h>
#include <string_view>

namespace galenaroad {

/// Rules for header fields: which are forwarded to the next hop, and what is valid.
class header_rules {
public:
    /// Collects the fields to forward to the next hop. Omitted are hop-by-hop fields, fields named
    /// by `Connection`, the body's framing, and fields that each hop sets itself.
    /// @param message the received head.
    /// @return the fields in their original order.
    static header_list forwarded_fields(const Poco::Net::MessageHeader& message);

    /// @param name a field name.
    /// @return true when it is a token as defined by RFC 9110.
    static bool is_valid_name(std::string_view name);

    /// @param value a field value.
    /// @return true when it contains no control character except the tab.
    static bool is_valid_value(std::string_view value);

    /// Compares two field names, ignoring case.
    static bool same_name(std::string_view a, std::string_view b);

    /// Finds a field in a list.
    /// @param fields the list.
    /// @param name the field's name.
    /// @return the first such field, or null.
    static const header_field* find(const header_list& fields, std::string_view name);
};

} // namespace galenaroad
