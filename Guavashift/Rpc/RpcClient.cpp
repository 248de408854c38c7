#include <Guavashift/Rpc/FrameIo.h>
#include <Guavashift/Rpc/JsonRpcCaller.h>
#include <Guavashift/Rpc/RpcClient.h>

namespace guavashift {

RpcClient::RpcClient(const RpcSettings &settings, const Address &address)
    : m_address(address)
    , m_caller(std::make_unique<JsonRpcCaller>(
          address.ip, address.port, helloFrame(settings.clusterId, settings.clusterKey),
          toMs(settings.connectTimeout), settings.maxFrameBytes))
{
}

RpcClient::~RpcClient() = default;

Result<Json> RpcClient::call(const std::string &method, const Json &parameters, Duration timeout)
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    switch (m_caller->call(method, parameters.dump(), toMs(timeout), text)) {
    case JsonRpcCaller::Outcome::Ok:
        break;
    case JsonRpcCaller::Outcome::NotSent:
        return fail(ErrorCode::Unavailable, m_address.text() + ": " + text);
    case JsonRpcCaller::Outcome::Lost:
        return fail(ErrorCode::Timeout, m_address.text() + ": " + text);
    case JsonRpcCaller::Outcome::Refused:
        return fail(ErrorCode::InvalidArgument, m_address.text() + ": " + text);
    }
    // The result is {"ok": value} or {"code": n, "error": text}.
    Json answer = Json::parse(text, nullptr, false);
    if (answer.is_object() && answer.contains("ok"))
        return std::move(answer["ok"]);
    if (answer.is_object() && answer.contains("code"))
        return fail(static_cast<ErrorCode>(answer["code"].get<int>()),
                    answer.value("error", std::string()));
    return fail(ErrorCode::Timeout, m_address.text() + ": the answer cannot be read");
}

} // namespace guavashift
