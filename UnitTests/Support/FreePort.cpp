#include <UnitTests/Support/FreePort.h>

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace guavashift::test {

std::uint16_t freePort()
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0,
                         ::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)));
    socklen_t length = sizeof(address);
    ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(handle);
    return ntohs(address.sin_port);
}

} // namespace guavashift::test
