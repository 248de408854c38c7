#include <StandIns/ClientCrowd.h>

#include <CLI/CLI.hpp>
#include <iostream>

using namespace guavashift;

int main(int argc, char **argv)
{
    CLI::App app("Clients that hold unfinished requests or unread answers open");
    CrowdSettings settings;
    std::string kind;
    app.add_option("--to", settings.target, "IP:port")->required();
    app.add_option("--kind", kind,
                   "whole, pieces, chunks, tiny-chunks, announced, unread, headers or silent")
        ->required();
    app.add_option("--clients", settings.clients, "number of connections")->required();
    app.add_option("--bytes", settings.bytes, "of each client's body, headers or requests");
    app.add_option("--method", settings.method, "of the request");
    app.add_option("--path", settings.path, "of the request");
    app.add_option("--host", settings.host, "header Host of the request");
    CLI11_PARSE(app, argc, argv);
    const std::optional<CrowdKind> found = crowdKindOf(kind);
    if (!found) {
        std::cerr << "unknown kind " << kind << '\n';
        return 2;
    }
    settings.kind = *found;
    ClientCrowd crowd(settings);
    if (!crowd.send()) {
        std::cerr << "cannot connect to " << settings.target << '\n';
        return 1;
    }
    std::cout << "sent bytes=" << crowd.sentBytes() << " open=" << crowd.openConnections()
              << std::endl;
    // The connections stay open until the process is ended.
    for (;;)
        ::pause();
}
