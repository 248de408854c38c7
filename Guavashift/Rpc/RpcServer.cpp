#include <Guavashift/Rpc/RpcConnection.h>
#include <Guavashift/Rpc/RpcDispatcher.h>
#include <Guavashift/Rpc/RpcServer.h>

#include <ace/Acceptor.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace guavashift {

class RpcServer::Implementation final : public ACE_Event_Handler, public RpcFrameSink
{
public:
    Implementation(const RpcSettings &settings, const Address &address)
        : m_settings(settings)
        , m_address(address)
        , m_hello(helloFrame(settings.clusterId, settings.clusterKey))
        , m_reactor(new ACE_Dev_Poll_Reactor(maxHandles, restartsInterruptedWaits), true)
    {
        reactor(&m_reactor);
    }

    ~Implementation() override { stop(); }

    RpcDispatcher &dispatcher() { return m_dispatcher; }

    Result<void> start()
    {
        const ACE_INET_Addr address(m_address.port, m_address.ip.c_str(), AF_INET);
        if (m_acceptor.open(address, 1, PF_INET, listenBacklog) != 0)
            return fail(ErrorCode::Io, "cannot listen on " + m_address.text());
        m_isOpen = true;
        ACE_INET_Addr local;
        m_acceptor.get_local_addr(local);
        m_address.port = local.get_port_number();
        m_acceptor.enable(ACE_NONBLOCK);
        m_reactor.register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
        m_reactorThread = std::thread([this] {
            m_reactor.owner(ACE_OS::thr_self());
            m_reactor.run_reactor_event_loop();
        });
        for (unsigned i = 0; i < m_settings.handlerThreads; ++i)
            m_handlers.emplace_back([this] { runHandlers(); });
        return {};
    }

    void stop()
    {
        if (!m_isOpen)
            return;
        m_isOpen = false;
        // Handlers end first, so that they can still answer the calls received so far.
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wakeUp.notify_all();
        for (std::thread &handler : m_handlers)
            handler.join();
        m_handlers.clear();
        m_reactor.end_reactor_event_loop();
        m_reactorThread.join();
        m_reactor.remove_handler(this,
                                 ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
        m_acceptor.close();
        for (const auto &connection : m_connections) {
            // The reactor outlives the connections and would call those still registered.
            if (!connection->isClosed())
                m_reactor.remove_handler(connection.get(),
                                         ACE_Event_Handler::ALL_EVENTS_MASK
                                             | ACE_Event_Handler::DONT_CALL);
            connection->close();
        }
        m_connections.clear();
    }

    [[nodiscard]] Address address() const { return m_address; }

    ACE_HANDLE get_handle() const override { return m_acceptor.get_handle(); }

    /// Runs on the reactor thread when a connection is to be accepted.
    int handle_input(ACE_HANDLE) override
    {
        ACE_SOCK_Stream stream;
        if (m_acceptor.accept(stream) != 0)
            return 0;
        dropClosed();
        auto connection =
            std::make_shared<RpcConnection>(stream, m_hello, m_settings.maxFrameBytes, *this);
        connection->reactor(&m_reactor);
        m_reactor.register_handler(connection.get(), ACE_Event_Handler::READ_MASK);
        m_connections.push_back(std::move(connection));
        return 0;
    }

    /// Runs on the reactor thread for each complete frame.
    void frameReceived(std::shared_ptr<RpcConnection> connection, std::string frame) override
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
            m_queue.push_back({std::move(connection), std::move(frame)});
        }
        m_wakeUp.notify_one();
    }

private:
    static constexpr std::size_t maxHandles = 8192;
    /// An interrupted wait would otherwise end the reactor's thread. Stopping and continuing the
    /// process interrupts it.
    static constexpr bool restartsInterruptedWaits = true;
    static constexpr int listenBacklog = 1024;

    struct Call
    {
        std::shared_ptr<RpcConnection> connection;
        std::string frame;
    };

    void dropClosed()
    {
        std::erase_if(m_connections, [](const auto &connection) { return connection->isClosed(); });
    }

    void runHandlers()
    {
        for (;;) {
            Call call;
            {
                std::unique_lock lock(m_mutex);
                m_wakeUp.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
                if (m_queue.empty())
                    return;
                call = std::move(m_queue.front());
                m_queue.pop_front();
            }
            call.connection->send(m_dispatcher.dispatch(call.frame));
        }
    }

    RpcSettings m_settings;
    Address m_address;
    std::string m_hello;
    RpcDispatcher m_dispatcher;
    ACE_Reactor m_reactor;
    ACE_SOCK_Acceptor m_acceptor;
    bool m_isOpen = false;
    std::thread m_reactorThread;
    std::vector<std::thread> m_handlers;
    std::vector<std::shared_ptr<RpcConnection>> m_connections;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<Call> m_queue;
    bool m_stopping = false;
};

RpcServer::RpcServer(const RpcSettings &settings, const Address &address)
    : m_implementation(std::make_unique<Implementation>(settings, address))
{
}

RpcServer::~RpcServer() = default;

void RpcServer::add(std::string method, Handler handler)
{
    m_implementation->dispatcher().add(std::move(method), std::move(handler));
}

Result<void> RpcServer::start()
{
    return m_implementation->start();
}

void RpcServer::stop()
{
    m_implementation->stop();
}

Address RpcServer::address() const
{
    return m_implementation->address();
}

} // namespace guavashift
