#include <Guavashift/Http/AsyncHttpClient.h>

#include <algorithm>
#include <cerrno>
#include <curl/curl.h>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace guavashift {

namespace {

constexpr int maxPollMs = 1000;
constexpr long connectTimeoutMs = 700;
/// Idle connections kept open to all addresses together.
constexpr long maxIdleConnections = 32;

/// Numbers the connections of a client. Open connections differ in their local port.
class ConnectionNumbers final
{
public:
    HttpConnectionId numberOf(int localPort, bool isNew)
    {
        HttpConnectionId &number = m_byLocalPort[localPort];
        if (isNew || number == 0)
            number = ++m_last;
        return number;
    }

private:
    HttpConnectionId m_last = 0;
    std::map<int, HttpConnectionId> m_byLocalPort;
};

/// One call with all data that libcurl refers to while it is in progress.
struct Transfer
{
    AsyncHttpCall call;
    ConnectionNumbers *numbers = nullptr;
    HttpConnectionId connection = 0;
    bool opensConnection = false;
    bool isSent = false; ///< Perhaps in part.
    AsyncHttpClient::Callback callback;
    std::string url;
    std::size_t bodySent = 0; ///< Bytes that onSend() has passed on.
    curl_slist *headers = nullptr;
    HttpResponse response;

    ~Transfer() { curl_slist_free_all(headers); }
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *cls)
{
    static_cast<Transfer *>(cls)->response.body.append(data, size * count);
    return size * count;
}

/// Passes the body on once. Without a function to rewind it, libcurl fails a call that it would
/// otherwise send again.
std::size_t onSend(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto &transfer = *static_cast<Transfer *>(cls);
    const std::size_t sent = transfer.call.body.copy(data, size * count, transfer.bodySent);
    transfer.bodySent += sent;
    return sent;
}

int onOpening(void *cls, curl_socket_t, curlsocktype)
{
    auto &transfer = *static_cast<Transfer *>(cls);
    transfer.opensConnection = true;
    return transfer.call.connections ? CURL_SOCKOPT_ERROR : CURL_SOCKOPT_OK;
}

/// Called when the connection for a call is known, before anything is sent on it.
int onConnected(void *cls, char *, char *, int, int localPort)
{
    auto &transfer = *static_cast<Transfer *>(cls);
    transfer.connection = transfer.numbers->numberOf(localPort, transfer.opensConnection);
    const auto &allowed = transfer.call.connections;
    if (allowed
        && std::find(allowed->begin(), allowed->end(), transfer.connection) == allowed->end())
        return CURL_PREREQFUNC_ABORT;
    transfer.isSent = true;
    return CURL_PREREQFUNC_OK;
}

} // namespace

class AsyncHttpClient::Implementation final
{
public:
    Implementation()
    {
        static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
        GUAVASHIFT_CHECK(initialized == CURLE_OK);
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
        m_thread = std::thread([this] { run(); });
    }

    ~Implementation()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        curl_multi_wakeup(m_multi);
        m_thread.join();
        for (auto &[easy, transfer] : m_running) {
            curl_multi_remove_handle(m_multi, easy);
            curl_easy_cleanup(easy);
        }
        for (CURL *easy : m_idleHandles)
            curl_easy_cleanup(easy);
        curl_multi_cleanup(m_multi);
    }

    void send(AsyncHttpCall call, Callback callback)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->callback = std::move(callback);
        {
            const std::lock_guard lock(m_mutex);
            m_queued.push_back(std::move(transfer));
        }
        curl_multi_wakeup(m_multi);
    }

private:
    void run()
    {
        for (;;) {
            std::deque<std::unique_ptr<Transfer>> queued;
            {
                const std::lock_guard lock(m_mutex);
                if (m_stopping)
                    return;
                queued.swap(m_queued);
            }
            for (auto &transfer : queued)
                startTransfer(std::move(transfer));
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishCompleted();
            curl_multi_poll(m_multi, nullptr, 0, maxPollMs, nullptr);
        }
    }

    void startTransfer(std::unique_ptr<Transfer> transfer)
    {
        CURL *easy = nullptr;
        if (m_idleHandles.empty()) {
            easy = curl_easy_init();
        } else {
            easy = m_idleHandles.back();
            m_idleHandles.pop_back();
        }
        const AsyncHttpCall &call = transfer->call;
        transfer->numbers = &m_numbers;
        transfer->url = "http://" + call.address + call.target;
        for (const HttpHeader &header : call.headers.all())
            transfer->headers =
                curl_slist_append(transfer->headers, (header.name + ": " + header.value).c_str());
        // Without this, libcurl waits for a "100 Continue" before larger bodies.
        transfer->headers = curl_slist_append(transfer->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, transfer->url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(toMs(call.timeout)));
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.onNewConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.onNewConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &onOpening);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onConnected);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
        if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            if (call.mayResend) {
                curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
            } else {
                curl_easy_setopt(easy, CURLOPT_POST, 1L);
                curl_easy_setopt(easy, CURLOPT_READFUNCTION, &onSend);
                curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
            }
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_multi_add_handle(m_multi, easy);
        m_running.emplace(easy, std::move(transfer));
    }

    void finishCompleted()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL *easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto found = m_running.find(easy);
            const std::unique_ptr<Transfer> transfer = std::move(found->second);
            m_running.erase(found);
            long status = 0;
            long systemError = 0;
            curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
            curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &systemError);
            curl_multi_remove_handle(m_multi, easy);
            recycle(easy, code);
            if (code == CURLE_OK) {
                transfer->response.status = static_cast<int>(status);
                transfer->callback(
                    AsyncHttpAnswer{std::move(transfer->response), transfer->connection});
            } else if (transfer->call.connections && !transfer->isSent) {
                transfer->callback(tl::unexpected(HttpCallFailure::NotSent));
            } else {
                const bool refused = code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
                transfer->callback(
                    tl::unexpected(refused ? HttpCallFailure::Refused : HttpCallFailure::NoAnswer));
            }
        }
    }

    void recycle(CURL *easy, CURLcode code)
    {
        // A reset does not clear that a body has to be sent anew, which fails the next call.
        if (code != CURLE_OK)
            return curl_easy_cleanup(easy);
        curl_easy_reset(easy);
        m_idleHandles.push_back(easy);
    }

    CURLM *m_multi = nullptr;
    std::mutex m_mutex;
    std::deque<std::unique_ptr<Transfer>> m_queued;
    bool m_stopping = false;
    std::map<CURL *, std::unique_ptr<Transfer>> m_running;
    ConnectionNumbers m_numbers; ///< Used by the thread only.
    std::vector<CURL *> m_idleHandles;
    std::thread m_thread;
};

AsyncHttpClient::AsyncHttpClient()
    : m_implementation(std::make_unique<Implementation>())
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::send(AsyncHttpCall call, Callback callback)
{
    m_implementation->send(std::move(call), std::move(callback));
}

} // namespace guavashift
