#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace galenaroad {

/// Kind of a call to a store.
enum class store_operation { read, list, insert, update, write, remove };

/// A call to a store, as fault hooks see it.
struct store_call {
    store_operation operation;
    std::string container; ///< Table or bucket.
    std::string key;       ///< Row or object key; the prefix of a list.
};

/// Faults of an in-memory store. An empty hook injects no fault. Hooks are called without a lock
/// held, possibly from several threads at once.
struct store_faults {
    /// @return true to refuse the call before it has an effect.
    std::function<bool(const store_call&)> fail_before_effect;
    /// @return true to lose the response after the effect.
    std::function<bool(const store_call&)> lose_response;
    /// Delays the call before its effect. The hook itself waits, by the clock of its choice.
    std::function<void(const store_call&)> delay;
};

/// Tells whether an operation changes the store.
/// @param operation the operation.
/// @return true for a write.
inline bool is_write(store_operation operation)
{
    return operation != store_operation::read && operation != store_operation::list;
}

} // namespace galenaroad
