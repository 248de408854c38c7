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

/// Formats the rows of a JSON array as an aligned table. Missing, null and empty values are "-".
std::string formatTable(const Json &rows, const std::vector<TableColumn> &columns);

/// Formats an object as "name: value" lines; nested values stay JSON.
std::string formatObject(const Json &object);

} // namespace guavashift
