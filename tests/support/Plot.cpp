#include "support/Plot.h"

#include <array>
#include <sstream>

namespace wasabiloom::tests {

namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 420;
constexpr double kLeft = 60;
constexpr double kRight = 170;
constexpr double kTop = 40;
constexpr double kBottom = 50;
constexpr int kTicks = 5;
constexpr double kLegendStep = 18;

constexpr std::array<const char*, 7> kColours = {
  "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf"
};

double
X(const Plot& aPlot, double aValue)
{
  return kLeft + (kWidth - kLeft - kRight) * aValue / aPlot.m_xMax;
}

double
Y(const Plot& aPlot, double aValue)
{
  return kHeight - kBottom - (kHeight - kTop - kBottom) * aValue / aPlot.m_yMax;
}

void
WriteText(std::ostream& aOut, double aX, double aY, const std::string& aText)
{
  aOut << "<text x=\"" << aX << "\" y=\"" << aY << "\">" << aText
       << "</text>\n";
}

void
WriteAxes(std::ostream& aOut, const Plot& aPlot)
{
  aOut << "<path d=\"M" << kLeft << " " << kTop << "V" << kHeight - kBottom
       << "H" << kWidth - kRight << "\" fill=\"none\" stroke=\"black\"/>\n";
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double x = aPlot.m_xMax * tick / kTicks;
    const double y = aPlot.m_yMax * tick / kTicks;
    std::ostringstream xText;
    xText << x;
    std::ostringstream yText;
    yText << y;
    WriteText(aOut, X(aPlot, x) - 8, kHeight - kBottom + 18, xText.str());
    WriteText(aOut, kLeft - 40, Y(aPlot, y) + 4, yText.str());
  }
  WriteText(aOut, kLeft, kTop - 18, aPlot.m_title);
  WriteText(aOut, kLeft + 160, kHeight - 10, aPlot.m_xLabel);
  WriteText(aOut, 4, kTop - 4, aPlot.m_yLabel);
}

} // namespace

std::string
ToSvg(const Plot& aPlot)
{
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  WriteAxes(out, aPlot);
  std::size_t index = 0;
  for (const PlotLine& line : aPlot.m_lines) {
    const char* colour = kColours.at(index % kColours.size());
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour
        << "\" points=\"";
    for (const auto& [x, y] : line.m_points) {
      out << X(aPlot, x) << "," << Y(aPlot, y) << " ";
    }
    out << "\"/>\n<g fill=\"" << colour << "\">\n";
    WriteText(out,
              kWidth - kRight + 10,
              kTop + kLegendStep * static_cast<double>(index),
              line.m_name);
    out << "</g>\n";
    ++index;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace wasabiloom::tests
