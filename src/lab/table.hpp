// The table of a sweep, as its CSV has it, and a picture of it: curves of one figure over one parameter with
// the range of the seeds, or a map of it over two. The script is gnuplot's; writing it needs no gnuplot.
#pragma once

#include <string>
#include <vector>

namespace yoketurn::lab {

struct Table {
  std::vector<std::string> head;
  std::vector<std::vector<std::string>> rows;
  std::size_t column(const std::string& name) const;  // throws std::invalid_argument naming those there are
};
Table read_table(const std::string& csv);  // throws std::invalid_argument by line

struct Picture {
  std::string x, y, by;  // by: a curve for each of its values, or the map's other axis; empty: one curve
  std::vector<std::string> where;  // AXIS=VALUE: rows that are left out have another one
  bool map = false;
  std::string title, svg;
};
std::string plot_script(const Table& table, const Picture& picture);  // throws std::invalid_argument

}  // namespace yoketurn::lab
