#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <functional>
#include <memory>

namespace galenaroad {

/// Makes request handlers by a hook.
class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    using maker = std::function<std::unique_ptr<Poco::Net::HTTPRequestHandler>()>;

    /// @param make makes a handler.
    explicit handler_factory(maker make) : m_make(std::move(make)) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return m_make().release();
    }

private:
    maker m_make;
};

} // namespace galenaroad
