#include <Tool/TablePrinter.h>

#include <algorithm>

namespace guavashift {

namespace {

std::string textOf(const Json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_array() && value.empty())
        return "-";
    return value.is_null() ? "-" : value.dump();
}

} // namespace

std::string formatTable(const Json &rows, const std::vector<TableColumn> &columns)
{
    std::vector<std::vector<std::string>> cells(1);
    for (const TableColumn &column : columns)
        cells[0].push_back(column.title);
    for (const Json &row : rows) {
        std::vector<std::string> line;
        for (const TableColumn &column : columns) {
            const Json::json_pointer pointer(column.pointer);
            line.push_back(row.contains(pointer) ? textOf(row.at(pointer)) : "-");
        }
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const auto &line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i)
            text += i + 1 == line.size() ? line[i] : fmt::format("{:<{}}  ", line[i], widths[i]);
        text += '\n';
    }
    return text;
}

std::string formatObject(const Json &object)
{
    std::string text;
    for (const auto &[name, value] : object.items())
        text += name + ": " + textOf(value) + "\n";
    return text;
}

} // namespace guavashift
