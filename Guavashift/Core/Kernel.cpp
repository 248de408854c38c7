#include <Guavashift/Core/Kernel.h>

#include <utility>

namespace guavashift {

RoleRegistry &RoleRegistry::instance()
{
    static RoleRegistry registry;
    return registry;
}

void RoleRegistry::add(std::string name, Factory factory)
{
    m_factories.emplace(std::move(name), std::move(factory));
}

std::vector<std::string> RoleRegistry::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, factory] : m_factories)
        names.push_back(name);
    return names;
}

std::unique_ptr<Role> RoleRegistry::create(std::string_view name, const RoleContext &context) const
{
    const auto found = m_factories.find(name);
    return found == m_factories.end() ? nullptr : found->second(context);
}

RoleRegistration::RoleRegistration(std::string name, RoleRegistry::Factory factory)
{
    RoleRegistry::instance().add(std::move(name), std::move(factory));
}

Kernel::Kernel(std::vector<std::unique_ptr<Role>> roles)
    : m_roles(std::move(roles))
{
}

Result<void> Kernel::start()
{
    for (const auto &role : m_roles) {
        if (Result<void> started = role->start(); !started) {
            shutDown();
            return started;
        }
        ++m_started;
    }
    return {};
}

void Kernel::shutDown()
{
    // Roles that serve callers were started last, so they drain before the roles they depend on.
    for (std::size_t i = m_started; i > 0; --i)
        m_roles[i - 1]->drain();
    for (; m_started > 0; --m_started)
        m_roles[m_started - 1]->stop();
}

} // namespace guavashift
