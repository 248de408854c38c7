#include <Guavashift/Rpc/FrameIo.h>
#include <Guavashift/Rpc/JsonRpcCaller.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <json/json.h>
#include <jsonrpccpp/client.h>

#include <chrono>
#include <netinet/tcp.h>
#include <stdexcept>
#include <utility>

namespace guavashift {

namespace {

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool readJson(const std::string &text, Json::Value &value)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

class NotSentError : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

class LostError : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

} // namespace

class JsonRpcCaller::Connector final : public jsonrpc::IClientConnector
{
public:
    Connector(std::string ip, unsigned short port, std::string hello, long connectTimeoutMs,
              unsigned long maxFrameBytes)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_hello(std::move(hello))
        , m_connectTimeoutMs(connectTimeoutMs)
        , m_maxFrameBytes(maxFrameBytes)
    {
    }

    ~Connector() override { close(); }

    void startCall(long timeoutMs)
    {
        m_deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    }

    // The base class requires the dynamic exception specification.
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        // Stores errors as an Outcome, because only JsonRpcException may leave this function.
        m_failure = Outcome::Ok;
        try {
            connect();
            exchange(message, result);
        } catch (const NotSentError &error) {
            m_failure = Outcome::NotSent;
            abandon(error.what());
        } catch (const LostError &error) {
            m_failure = Outcome::Lost;
            abandon(error.what());
        }
    }

    Outcome failure() const { return m_failure; }

private:
    void abandon(const char *reason)
    {
        close();
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, reason);
    }

    void close()
    {
        if (m_isOpen)
            m_stream.close();
        m_isOpen = false;
    }

    ACE_Time_Value remaining() const
    {
        const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
            m_deadline - std::chrono::steady_clock::now());
        return ACE_Time_Value(0, left.count() > 0 ? static_cast<suseconds_t>(left.count()) : 1);
    }

    void connect()
    {
        // Detects a connection that the server has closed before anything is sent on it.
        if (m_isOpen && isStale())
            close();
        if (m_isOpen)
            return;
        const ACE_INET_Addr address(m_port, m_ip.c_str(), AF_INET);
        ACE_Time_Value timeout = remaining();
        const ACE_Time_Value limit(0, static_cast<suseconds_t>(m_connectTimeoutMs * 1000));
        if (limit < timeout)
            timeout = limit;
        ACE_SOCK_Connector connector;
        if (connector.connect(m_stream, address, &timeout) != 0) {
            m_stream.close();
            throw NotSentError("cannot connect");
        }
        m_isOpen = true;
        int enabled = 1;
        m_stream.set_option(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        send(m_hello);
    }

    bool isStale()
    {
        char byte = 0;
        ACE_Time_Value immediately(0, 0);
        const ssize_t count = m_stream.recv(&byte, 1, MSG_PEEK, &immediately);
        return count >= 0 || (errno != ETIME && errno != EWOULDBLOCK);
    }

    void send(const std::string &payload)
    {
        const std::string frame = FrameHeader::encode(payload.size()) + payload;
        const ACE_Time_Value timeout = remaining();
        if (m_stream.send_n(frame.data(), frame.size(), &timeout)
            != static_cast<ssize_t>(frame.size()))
            throw LostError("cannot send");
    }

    void exchange(const std::string &message, std::string &result)
    {
        send(message);
        char header[FrameHeader::bytes];
        receive(header, sizeof(header));
        const unsigned long size = FrameHeader::decode(header);
        if (size > m_maxFrameBytes)
            throw LostError("answer too large");
        result.resize(size);
        receive(&result[0], size);
    }

    void receive(char *bytes, std::size_t size)
    {
        const ACE_Time_Value timeout = remaining();
        if (size > 0 && m_stream.recv_n(bytes, size, &timeout) != static_cast<ssize_t>(size))
            throw LostError("no answer");
    }

    std::string m_ip;
    unsigned short m_port;
    std::string m_hello;
    long m_connectTimeoutMs;
    unsigned long m_maxFrameBytes;
    ACE_SOCK_Stream m_stream;
    bool m_isOpen = false;
    std::chrono::steady_clock::time_point m_deadline;
    Outcome m_failure = Outcome::Ok;
};

JsonRpcCaller::JsonRpcCaller(std::string ip, unsigned short port, std::string hello,
                             long connectTimeoutMs, unsigned long maxFrameBytes)
    : m_connector(
        new Connector(std::move(ip), port, std::move(hello), connectTimeoutMs, maxFrameBytes))
{
}

JsonRpcCaller::~JsonRpcCaller() = default;

JsonRpcCaller::Outcome JsonRpcCaller::call(const std::string &method, const std::string &parameters,
                                           long timeoutMs, std::string &result)
{
    Json::Value input;
    if (!readJson(parameters, input)) {
        result = "the parameters are not JSON";
        return Outcome::Refused;
    }
    m_connector->startCall(timeoutMs);
    jsonrpc::Client client(*m_connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        Json::Value output;
        client.CallMethod(method, input, output);
        result = writeJson(output);
        return Outcome::Ok;
    } catch (const jsonrpc::JsonRpcException &error) {
        result = error.GetMessage();
        return m_connector->failure() == Outcome::Ok ? Outcome::Refused : m_connector->failure();
    }
}

} // namespace guavashift
