#pragma once

#include <Guavashift/Rpc/FrameIo.h>
#include <Guavashift/Rpc/RpcServer.h>

#include <jsonrpccpp/server.h>

namespace guavashift {

/// Parses JSON-RPC requests through libjsonrpccpp and calls their handlers.
class RpcDispatcher final : private jsonrpc::AbstractServerConnector,
                            private jsonrpc::IProcedureInvokationHandler
{
public:
    RpcDispatcher();
    ~RpcDispatcher() override;

    /// Adds a method. Only before the first dispatch().
    void add(std::string method, RpcServer::Handler handler);

    /// Answers one JSON-RPC request. Thread-safe once all methods are added.
    std::string dispatch(const std::string &request);

private:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *addInfo) override;
    void HandleMethodCall(jsonrpc::Procedure &procedure, const ::Json::Value &input,
                          ::Json::Value &output) override;
    void HandleNotificationCall(jsonrpc::Procedure &procedure, const ::Json::Value &input) override;

    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, RpcServer::Handler> m_handlers;
};

} // namespace guavashift
