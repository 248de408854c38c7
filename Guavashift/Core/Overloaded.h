#pragma once

namespace guavashift {

/// Joins lambdas into one visitor for std::visit.
template <typename... Callables> struct Overloaded : Callables...
{
    using Callables::operator()...;
};

template <typename... Callables> Overloaded(Callables...) -> Overloaded<Callables...>;

} // namespace guavashift
