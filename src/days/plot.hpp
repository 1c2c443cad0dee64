// A day's record as a picture: what clients got over time, when the faults were, how many routers held which
// site for lost. The script is gnuplot's; writing it needs no gnuplot, drawing it does.
#pragma once

#include <string>

#include "days/day.hpp"
#include "days/record.hpp"

namespace yoketurn::days {

void gnuplot(const std::string& script,
             const std::string& svg);         // throws std::runtime_error, naming the picture
std::string quoted(const std::string& text);  // for a script
std::string plot_script(const Record& record, const Day& day, const std::string& svg);
void draw(const Record& record, const Day& day, const std::string& svg);  // throws std::runtime_error

}  // namespace yoketurn::days
