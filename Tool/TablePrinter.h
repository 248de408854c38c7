#pragma once

#include <Guavashift/Core/Core.h>

#include <string>
#include <vector>

namespace guavashift {

/// One column of a table: its title and the JSON Pointer of its value within a row.
struct TableColumn
{
    std::string title;
    std::string pointer;
};

/// The rows of a JSON array as an aligned table.
std::string formatTable(const Json &rows, const std::vector<TableColumn> &columns);

/// An object as "name: value" lines; nested values stay JSON.
std::string formatObject(const Json &object);

} // namespace guavashift
