#include "platform/http_object_store.h"

#include "platform/store_status.h"

#include <utility>

namespace galenaroad {

namespace {

std::string object_path(const std::string& bucket, const std::string& key)
{
    return "/" + store_http_client::encoded(bucket) + "/" + store_http_client::encoded(key);
}

std::error_code error_of(const result<store_response>& response)
{
    if (!response) {
        return response.error();
    }
    const auto outcome = write_outcome(response->status);
    return outcome == error_kind::ok ? std::error_code() : make_error_code(outcome);
}

} // namespace

http_object_store::http_object_store(store_endpoint endpoint, const clock& time)
    : m_client(std::move(endpoint), time)
{
}

result<std::string> http_object_store::read(const std::string& bucket, const std::string& key)
{
    auto response = m_client.exchange({"GET", object_path(bucket, key), {}, {}, {}});
    if (response && response->status == store_status::not_found) {
        return tl::unexpected(std::make_error_code(std::errc::no_such_file_or_directory));
    }
    if (!response || response->status != store_status::ok) {
        return tl::unexpected(make_error_code(error_kind::store_unavailable));
    }
    return std::move(response->body);
}

std::error_code http_object_store::write(const std::string& bucket, const std::string& key,
                                         const std::string& bytes)
{
    const store_request request{
        "PUT", object_path(bucket, key), {}, bytes, "application/octet-stream"};
    return error_of(m_client.exchange(request));
}

std::error_code http_object_store::remove(const std::string& bucket, const std::string& key)
{
    return error_of(m_client.exchange({"DELETE", object_path(bucket, key), {}, {}, {}}));
}

} // namespace galenaroad
