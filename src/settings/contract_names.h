#pragma once

#include "model/contract.h"

#include <string>
#include <vector>

namespace galenaroad {

/// @return the names of the policies, in the order of detection_policy.
const std::vector<std::string>& policy_names();

/// @return the names of the request classes, in the order of request_class.
const std::vector<std::string>& class_names();

/// @return the HTTP methods that are allowed in a route.
const std::vector<std::string>& method_names();

/// @param policy the policy.
/// @return its name.
const std::string& name_of(detection_policy policy);

/// @param work the request class.
/// @return its name.
const std::string& name_of(request_class work);

} // namespace galenaroad
