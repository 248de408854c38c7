#include <Guavashift/Rpc/JsonConversion.h>
#include <Guavashift/Rpc/RpcDispatcher.h>

namespace guavashift {

RpcDispatcher::RpcDispatcher()
    : m_protocol(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
{
    SetHandler(m_protocol.get());
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(std::string method, RpcServer::Handler handler)
{
    m_protocol->AddProcedure(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    m_handlers.emplace(std::move(method), std::move(handler));
}

std::string RpcDispatcher::dispatch(const std::string &request)
{
    std::string response;
    OnRequest(request, &response);
    return response;
}

bool RpcDispatcher::SendResponse(const std::string &response, void *addInfo)
{
    *static_cast<std::string *>(addInfo) = response;
    return true;
}

void RpcDispatcher::HandleMethodCall(jsonrpc::Procedure &procedure, const ::Json::Value &input,
                                     ::Json::Value &output)
{
    const RpcServer::Handler &handler = m_handlers.at(procedure.GetProcedureName());
    Result<Json> result = [&]() -> Result<Json> {
        try {
            return handler(fromJsonCpp(input));
        } catch (const Json::exception &error) {
            return fail(ErrorCode::InvalidArgument, error.what());
        }
    }();
    if (result) {
        output["ok"] = toJsonCpp(*result);
    } else {
        output["code"] = static_cast<int>(result.error().code);
        output["error"] = result.error().message;
    }
}

void RpcDispatcher::HandleNotificationCall(jsonrpc::Procedure &, const ::Json::Value &) { }

} // namespace guavashift
