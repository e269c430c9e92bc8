/// Line plots as SVG.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace wasabiloom::tests {

/// One line of a plot, with its points in rising order of x.
struct PlotLine
{
  std::string m_name;
  std::vector<std::pair<double, double>> m_points;
};

/// What a plot shows; both axes begin at 0.
struct Plot
{
  std::string m_title;
  std::string m_xLabel;
  std::string m_yLabel;
  double m_xMax = 1;
  double m_yMax = 1;
  std::vector<PlotLine> m_lines;
};

/// The plot as an SVG document.
std::string
ToSvg(const Plot& aPlot);

} // namespace wasabiloom::tests
