#pragma once

#include "support/relay_test_fleet.h"

namespace galenaroad {

/// A relay_test_fleet whose plan has client accounts. Its `/download/` route is public.
struct account_test_fleet : relay_test_fleet {
    std::vector<client_account> accounts = {
        make_account("first", {"key-1", "key-2"}, {}),
        make_account("urgent", {"key-urgent"}, 0),
        make_account("other", {"key-other"}, 7),
    };

    account_test_fleet()
    {
        shared.amend_plan = [this](routing_plan& plan) {
            plan.has_accounts = true;
            plan.accounts = accounts;
            for (auto& rule : plan.routes) {
                rule.is_public = rule.name == "download";
                rule.priority = 3;
            }
        };
        publish_plan();
    }

    static client_account make_account(const std::string& name,
                                       const std::vector<std::string>& keys,
                                       std::optional<int> priority)
    {
        client_account account;
        account.name = name;
        account.priority = priority;
        for (const auto& key : keys) {
            account.keys.push_back(api_key_digest::of(key));
        }
        return account;
    }

    /// Publishes the accounts in the next version of the plan.
    void publish_plan()
    {
        ++shared.plan.version;
        a->store.deliver_plan(shared.plan);
        b->store.deliver_plan(shared.plan);
    }

    client_request request_with_key(const std::string& method, const std::string& target,
                                    const std::string& key) const
    {
        auto result = request(method, target);
        result.head.fields.push_back({"Authorization", "Bearer " + key});
        result.max_idle = 5s;
        return result;
    }

    /// @return the ended call; its exchange tells whether its connection had been used before.
    std::shared_ptr<relay_test_call> call(client_request sent)
    {
        const auto result = begin(std::move(sent), [this] { loop.stop(); });
        loop.run();
        return result;
    }

    std::shared_ptr<relay_test_call>
    call_with_key(const std::string& method, const std::string& target, const std::string& key)
    {
        return call(request_with_key(method, target, key));
    }
};

} // namespace galenaroad
