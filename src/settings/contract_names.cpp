#include "settings/contract_names.h"

namespace galenaroad {

const std::vector<std::string>& policy_names()
{
    static const std::vector<std::string> names{"fast", "careful"};
    return names;
}

const std::vector<std::string>& class_names()
{
    static const std::vector<std::string> names{"read", "action", "transfer"};
    return names;
}

const std::vector<std::string>& method_names()
{
    static const std::vector<std::string> names{"GET",   "HEAD",   "POST",   "PUT",
                                                "PATCH", "DELETE", "OPTIONS"};
    return names;
}

const std::string& name_of(detection_policy policy)
{
    return policy_names().at(static_cast<std::size_t>(policy));
}

const std::string& name_of(request_class work)
{
    return class_names().at(static_cast<std::size_t>(work));
}

} // namespace galenaroad
