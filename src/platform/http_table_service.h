#pragma once

#include "platform/store_http_client.h"
#include "platform/table_service.h"

namespace galenaroad {

/// Table service by HTTP conditional requests (RFC 9110). Safe for use by several threads.
class http_table_service : public table_service {
public:
    /// @param endpoint where the table service listens.
    /// @param time the clock; must outlive the service.
    http_table_service(store_endpoint endpoint, const clock& time);

    result<table_row> read(const std::string& table, const std::string& key) override;
    result<std::vector<table_row>> list(const std::string& table, const std::string& prefix,
                                        int limit) override;
    result<std::string> insert(const std::string& table, const std::string& key,
                               const std::string& value) override;
    result<std::string> update(const std::string& table, const std::string& key,
                               const std::string& value, const std::string& expected_tag) override;
    std::error_code remove(const std::string& table, const std::string& key,
                           const std::string& expected_tag) override;

private:
    result<std::string> put(const std::string& table, const std::string& key,
                            const std::string& value, const store_precondition& precondition);

    store_http_client m_client;
};

} // namespace galenaroad
