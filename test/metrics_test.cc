#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <string>
#include <vector>

extern "C"
{
#include "common/metrics.h"
}

static std::string
format (const GspanMetrics &metrics)
{
  char *text = gspan_metrics_format (&metrics);
  std::string copy = text;

  g_free (text);
  return copy;
}

static std::vector<std::string>
lines_of (const std::string &text)
{
  std::vector<std::string> lines;
  std::istringstream stream (text);

  for (std::string line; std::getline (stream, line);)
    lines.push_back (line);
  return lines;
}

/* Values of the lines that start with PREFIX, in order. */
static std::vector<double>
values_of (const std::string &text, const std::string &prefix)
{
  std::vector<double> values;

  for (const auto &line : lines_of (text))
    if (line.rfind (prefix, 0) == 0)
      values.push_back (std::stod (line.substr (line.rfind (' ') + 1)));
  return values;
}

RC_GTEST_PROP (Metrics, HistogramsAreCumulativeAndCountEachDurationOnce, ())
{
  auto durations = *rc::gen::container<std::vector<guint64>> (
      rc::gen::oneOf (rc::gen::inRange<guint64> (0, 120000000),
                      rc::gen::element<guint64> (0, 5000, 5001, 60000000)));
  GspanMetrics metrics{};
  guint64 sum = 0;
  double below_5ms = 0;

  for (guint64 elapsed : durations)
    {
      gspan_metrics_observe (&metrics, GSPAN_HISTOGRAM_DESK, elapsed);
      sum += elapsed;
      below_5ms += elapsed <= 5000;
    }
  std::string text = format (metrics);
  auto buckets = values_of (text, "gspan_desk_seconds_bucket{le=");
  RC_ASSERT (buckets.size () == size_t (GSPAN_HISTOGRAM_BUCKETS));
  RC_ASSERT (std::is_sorted (buckets.begin (), buckets.end ()));
  RC_ASSERT (buckets.front () == below_5ms);
  RC_ASSERT (buckets.back () == double (durations.size ()));
  RC_ASSERT (values_of (text, "gspan_desk_seconds_count")
             == std::vector<double>{ buckets.back () });
  RC_ASSERT (std::abs (values_of (text, "gspan_desk_seconds_sum")[0] - double (sum) / 1e6) < 1e-5);
}

TEST (Metrics, EachNameHasOneHelpOneTypeAndItsValuesBelow)
{
  GspanMetrics metrics{};
  char *table = gspan_metrics_describe ();
  std::string described = table;
  std::string name;
  std::string type;
  int names = 0;

  for (const auto &line : lines_of (format (metrics)))
    if (line.rfind ("# HELP ", 0) == 0)
      {
        name = line.substr (7, line.find (' ', 7) - 7);
        EXPECT_NE (described.find ("| `" + name + "` | "), std::string::npos) << name;
        names++;
      }
    else if (line.rfind ("# TYPE ", 0) == 0)
      {
        EXPECT_EQ (line.substr (7, name.size () + 1), name + " ");
        type = line.substr (8 + name.size ());
        EXPECT_EQ (type == "counter",
                   name.size () > 6 && name.substr (name.size () - 6) == "_total");
      }
    else
      EXPECT_EQ (line.rfind (name, 0), 0U) << line;
  EXPECT_EQ (names, GSPAN_METRIC_COUNT + GSPAN_GAUGE_COUNT + GSPAN_HISTOGRAM_COUNT);
  g_free (table);
}
