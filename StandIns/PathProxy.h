#pragma once

#include <Guavashift/Core/Core.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace guavashift {

/// What becomes of the connections through a PathProxy.
enum class PathState {
    Pass,   ///< Bytes pass.
    Silent, ///< Nothing passes and no end of a connection is seen, as after a loss of power.
    Refuse, ///< Open connections are reset and new ones refused.
    Late    ///< Answers arrive late, each by a time of its own.
};

/// The state with this name: pass, silent, refuse or late.
std::optional<PathState> pathStateOf(std::string_view name);

struct PathProxySettings
{
    std::string listen; ///< IP:port
    std::string target; ///< IP:port

    /// Whether each connection is closed after its first answer.
    bool closesAfterAnswer = false;

    /// Longest delay of an answer in the state Late.
    Duration latestAnswer = std::chrono::milliseconds(1500);

    /// Of the delays.
    std::uint64_t seed = 1;
};

/// Forwards TCP connections and impairs them by its state. Connections that were open when the path
/// became silent are reset once it passes again. setState() may be called from any thread.
class PathProxy final
{
public:
    explicit PathProxy(const PathProxySettings &settings);
    /// Resets the open connections.
    ~PathProxy();
    PathProxy(const PathProxy &) = delete;
    PathProxy &operator=(const PathProxy &) = delete;

    void setState(PathState state);

    /// Accepts the connections of the next `wait`. Returns false if the address can't be used.
    bool serve(Duration wait);

private:
    bool openListener();
    void closeListener();
    void handle(int client);
    /// Copies bytes both ways. Returns whether the client is to see an orderly end.
    bool forward(int client, int server, std::uint32_t breaks);
    void waitWhileSilent() const;
    void delayAnswer();

    PathProxySettings m_settings;
    int m_listener = -1;
    std::atomic<PathState> m_state = PathState::Pass;
    /// Number of times that the open connections were broken.
    std::atomic<std::uint32_t> m_breaks = 0;
    std::atomic<int> m_connections = 0;
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
};

} // namespace guavashift
