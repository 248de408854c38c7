#include <Guavashift/Http/HttpClient.h>

#include <curl/curl.h>
#include <map>
#include <mutex>

namespace guavashift {

namespace {

struct CurlDeleter
{
    void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
};

struct HeaderListDeleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};

using CurlHandle = std::unique_ptr<CURL, CurlDeleter>;
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

/// An answer that is being received.
struct IncomingResponse
{
    HttpResponse response;
    std::size_t maxBytes = 0;
    bool tooLarge = false;
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto &incoming = *static_cast<IncomingResponse *>(cls);
    if (incoming.response.body.size() + size * count > incoming.maxBytes) {
        incoming.tooLarge = true;
        return 0;
    }
    incoming.response.body.append(data, size * count);
    return size * count;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto &incoming = *static_cast<IncomingResponse *>(cls);
    const std::string_view line(data, size * count);
    // Each status line starts a new set of headers, for example after "100 Continue".
    if (line.starts_with("HTTP/")) {
        incoming.response.headers = {};
        return size * count;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return size * count;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
        value.remove_prefix(1);
    while (!value.empty() && (value.back() == '\r' || value.back() == '\n' || value.back() == ' '))
        value.remove_suffix(1);
    incoming.response.headers.add(std::string(line.substr(0, colon)), std::string(value));
    return size * count;
}

HeaderList makeHeaderList(const HttpHeaders &headers)
{
    HeaderList list;
    const auto append = [&list](const std::string &line) {
        curl_slist *extended = curl_slist_append(list.get(), line.c_str());
        (void)list.release();
        list.reset(extended);
    };
    for (const HttpHeader &header : headers.all())
        append(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    // Without this, libcurl waits for a "100 Continue" before larger bodies.
    append("Expect:");
    return list;
}

bool hasKnownLength(const HttpResponse &response)
{
    return response.body.empty() || response.headers.find("Content-Length")
        || response.headers.find("Transfer-Encoding");
}

HttpFailure failureOf(CURL *handle, CURLcode code, const IncomingResponse &incoming)
{
    // libcurl sends again over a new connection if a kept one is closed meanwhile, although the
    // first copy may have arrived. If it finds the kept one closed before, nothing was sent.
    long sentBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sentBytes);
    const HttpFailureStage connectFailureStage =
        sentBytes == 0 ? HttpFailureStage::NotConnected : HttpFailureStage::Broken;
    curl_off_t connectTime = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connectTime);
    const std::string message = curl_easy_strerror(code);
    if (incoming.tooLarge)
        return {HttpFailureStage::TooLarge, "the answer is too large"};
    if (code == CURLE_COULDNT_CONNECT)
        return {connectFailureStage, message};
    if (code == CURLE_OPERATION_TIMEDOUT)
        return {connectTime == 0 ? connectFailureStage : HttpFailureStage::TimedOut, message};
    return {HttpFailureStage::Broken, message};
}

} // namespace

class HttpClient::Implementation final
{
public:
    explicit Implementation(const HttpClientSettings &settings)
        : m_settings(settings)
    {
        static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
        GUAVASHIFT_CHECK(initialized == CURLE_OK);
    }

    tl::expected<HttpResponse, HttpFailure> send(const HttpCall &call)
    {
        CurlHandle pooled = acquireHandle(call.address);
        CURL *handle = pooled.get();
        IncomingResponse incoming;
        incoming.maxBytes = m_settings.maxAnswerBytes;
        const HeaderList headers = makeHeaderList(call.headers);
        configure(handle, call, headers.get(), incoming);
        const CURLcode code = curl_easy_perform(handle);
        if (code != CURLE_OK)
            return tl::unexpected(failureOf(handle, code, incoming));
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        incoming.response.status = static_cast<int>(status);
        // Without a length, a truncated answer cannot be distinguished from a complete one.
        if (call.method != "HEAD" && !hasKnownLength(incoming.response))
            return tl::unexpected(
                HttpFailure{HttpFailureStage::Broken, "the answer has no length"});
        releaseHandle(call.address, std::move(pooled));
        return std::move(incoming.response);
    }

private:
    void configure(CURL *handle, const HttpCall &call, curl_slist *headers,
                   IncomingResponse &incoming)
    {
        curl_easy_reset(handle);
        const std::string url = "http://" + call.address + call.target;
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(toMs(m_settings.connectTimeout)));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         std::max(1L, static_cast<long>(toMs(call.timeout))));
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &incoming);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &incoming);
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.reuseConnection ? 0L : 1L);
        // Method and body are sent unchanged.
        if (call.method == "HEAD")
            curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
        else if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        }
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }

    CurlHandle acquireHandle(const std::string &address)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<CurlHandle> &idle = m_idle[address];
        if (idle.empty())
            return CurlHandle(curl_easy_init());
        CurlHandle handle = std::move(idle.back());
        idle.pop_back();
        return handle;
    }

    void releaseHandle(const std::string &address, CurlHandle handle)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<CurlHandle> &idle = m_idle[address];
        if (idle.size() < m_settings.maxIdlePerAddress)
            idle.push_back(std::move(handle));
    }

    HttpClientSettings m_settings;
    std::mutex m_mutex;
    std::map<std::string, std::vector<CurlHandle>> m_idle;
};

HttpClient::HttpClient(const HttpClientSettings &settings)
    : m_implementation(std::make_unique<Implementation>(settings))
{
}

HttpClient::~HttpClient() = default;

tl::expected<HttpResponse, HttpFailure> HttpClient::send(const HttpCall &call)
{
    return m_implementation->send(call);
}

} // namespace guavashift
