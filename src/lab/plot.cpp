#include "days/plot.hpp"

#include <fstream>
#include <sstream>

#include "lab/commands.hpp"
#include "lab/table.hpp"

namespace yoketurn::lab {

void add_plot(CLI::App& app, Chosen& chosen) {
  auto* command = app.add_subcommand("plot", "Draw the table of a sweep as curves or as a map.");
  const auto path = std::make_shared<std::string>();
  const auto wanted = std::make_shared<Picture>();
  command->add_option("table", *path, "The CSV of a sweep")->required();
  command->add_option("svg", wanted->svg, "The picture")->required();
  command->add_option("--x", wanted->x, "The parameter that goes across")->required();
  command->add_option("--y", wanted->y, "The figure")->required();
  command->add_option("--by", wanted->by, "A curve for each value of this parameter");
  command->add_option("--where", wanted->where, "PARAMETER=VALUE: rows with another value are left out");
  command->add_option("--title", wanted->title, "Above it");
  command->add_flag("--map", wanted->map, "Colours over --x and --by in place of curves");
  command->footer("Example: yoketurn-lab plot out.csv out.svg --x sites.*.rate --y utility --by design");
  command->callback([&chosen, path, wanted] {
    chosen = [path, wanted] {
      std::ifstream file(*path);
      std::stringstream content;
      content << file.rdbuf();
      if (!file) throw std::runtime_error(*path + " can't be read");
      days::gnuplot(plot_script(read_table(content.str()), *wanted), wanted->svg);
      return 0;
    };
  });
}

}  // namespace yoketurn::lab
