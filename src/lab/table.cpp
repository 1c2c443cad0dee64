#include "lab/table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include "days/plot.hpp"
#include "lab/experiment.hpp"

namespace yoketurn::lab {

namespace {

using Row = std::vector<std::string>;

Row cells(const std::string& line) {
  Row row;
  std::istringstream in(line);
  for (std::string cell; std::getline(in, cell, ',');) row.push_back(cell);
  return row;
}

bool is_number(const std::string& text) {
  char* end = nullptr;
  std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0';
}

// In the order of the file, each once.
std::vector<std::string> values(const std::vector<const Row*>& rows, std::size_t column) {
  std::vector<std::string> found;
  for (const auto* row : rows)
    if (std::find(found.begin(), found.end(), (*row)[column]) == found.end()) found.push_back((*row)[column]);
  return found;
}

// Names stand side by side, in the order of the file; numbers where they are.
struct Scale {
  std::vector<std::string> names;  // empty: numbers
  std::string at(const std::string& value) const {
    if (names.empty()) return value;
    return std::to_string(std::find(names.begin(), names.end(), value) - names.begin());
  }
  std::string ticks() const {
    std::string text;
    for (std::size_t i = 0; i < names.size(); ++i)
      text += fmt::format("{}{} {}", i > 0 ? ", " : "", days::quoted(names[i]), i);
    return text;
  }
};
Scale scale(const std::vector<const Row*>& rows, std::size_t column, bool even) {
  auto all = values(rows, column);
  if (!even && std::all_of(all.begin(), all.end(), is_number)) return {};
  return {std::move(all)};
}

std::string curves(const std::vector<const Row*>& rows, std::size_t x, std::size_t y, std::size_t by,
                   bool one, const Scale& across) {
  std::string lines, data;
  int number = 0;
  for (const auto& value : one ? std::vector<std::string>{""} : values(rows, by)) {
    const auto style = lines.empty() ? "plot" : ",";
    lines += fmt::format(
        "{0} '-' using 1:2:3 with filledcurves lc {1} fs transparent solid 0.2 notitle, '-' using 1:2 "
        "with linespoints lc {1} lw 2 {2}",
        style, ++number, one ? "notitle" : "title " + days::quoted(value));
    std::string range, middle;
    for (const auto* row : rows) {
      if (!one && (*row)[by] != value) continue;
      range += fmt::format("{} {} {}\n", across.at((*row)[x]), (*row)[y + 1], (*row)[y + 2]);
      middle += fmt::format("{} {}\n", across.at((*row)[x]), (*row)[y]);
    }
    data += range + "e\n" + middle + "e\n";
  }
  return lines + "\n" + data;
}

std::string map(const std::vector<const Row*>& rows, std::size_t x, std::size_t y, std::size_t by,
                const Scale& across, const Scale& up) {
  std::string text =
      "unset key\nset palette defined (0 '#b2182b', 0.5 '#f7f7f7', 1 '#2166ac')\nset ytics (" + up.ticks() +
      ")\nplot '-' using 1:2:3 with image pixels, '-' using 1:2:(sprintf('%.3f', $3)) with labels\n";
  for (int again = 0; again < 2; ++again) {
    for (const auto* row : rows)
      text += fmt::format("{} {} {}\n", across.at((*row)[x]), up.at((*row)[by]), (*row)[y]);
    text += "e\n";
  }
  return text;
}

}  // namespace

std::size_t Table::column(const std::string& name) const {
  const auto at = std::find(head.begin(), head.end(), name);
  if (at != head.end()) return static_cast<std::size_t>(at - head.begin());
  std::string names;
  for (const auto& known : head) names += (names.empty() ? "" : ", ") + known;
  throw std::invalid_argument("'" + name + "' where one of " + names + " is expected");
}

Table read_table(const std::string& csv) {
  Table table;
  std::istringstream in(csv);
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    if (line.empty()) continue;
    auto row = cells(line);
    if (table.head.empty()) {
      table.head = std::move(row);
      continue;
    }
    if (row.size() != table.head.size())
      throw std::invalid_argument(
          fmt::format("line {}: {} cells where {} are expected", number, row.size(), table.head.size()));
    table.rows.push_back(std::move(row));
  }
  if (table.rows.empty()) throw std::invalid_argument("the table has no rows");
  return table;
}

std::string plot_script(const Table& table, const Picture& picture) {
  const auto x = table.column(picture.x), y = table.column(picture.y);
  const auto one = picture.by.empty();
  if (one && picture.map) throw std::invalid_argument("a map needs two parameters: --by is missing");
  const auto by = one ? x : table.column(picture.by);
  table.column(picture.y + ".least");  // what has no range is a parameter, not a figure
  std::vector<std::pair<std::size_t, std::string>> only;
  for (const auto& text : picture.where) {
    const auto [name, value] = read_setting(text);
    only.emplace_back(table.column(name), value);
  }
  std::vector<const Row*> rows;
  for (const auto& row : table.rows)
    if (std::all_of(only.begin(), only.end(), [&](const auto& o) { return row[o.first] == o.second; }))
      rows.push_back(&row);
  if (rows.empty()) throw std::invalid_argument("no row of the table is left");
  const auto across = scale(rows, x, picture.map), up = scale(rows, by, picture.map);
  auto script = fmt::format(
      "set term svg size 760,440 noenhanced\nset output {}\nset title {}\nset xlabel {}\nset key outside "
      "right\nset "
      "offsets graph 0.03, graph 0.03, graph 0.05, graph 0.05\n",
      days::quoted(picture.svg), days::quoted(picture.title.empty() ? picture.y : picture.title),
      days::quoted(picture.x));
  if (!across.names.empty()) script += "set xtics (" + across.ticks() + ")\n";
  script += fmt::format("set ylabel {}\n", days::quoted(picture.map ? picture.by : picture.y));
  return script + (picture.map ? map(rows, x, y, by, across, up) : curves(rows, x, y, by, one, across));
}

}  // namespace yoketurn::lab
