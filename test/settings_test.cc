#include <gtest/gtest.h>

#include <glib.h>

#include <algorithm>
#include <fstream>
#include <unistd.h>
#include <sstream>
#include <string>
#include <vector>

extern "C"
{
#include "settings/fleet.h"
#include "settings/node.h"
}

static std::string
load (const std::string &text)
{
  std::string path = testing::TempDir () + "settings-" + std::to_string (getpid ()) + ".toml";
  GspanNodeSettings settings{};
  GspanFindings findings{};

  std::ofstream (path) << text;
  gspan_findings_init (&findings);
  gspan_options_load (gspan_node_options, gspan_node_option_count, path.c_str (), &settings,
                      &findings);
  char *formatted = gspan_findings_format (&findings);
  std::string result = formatted;
  g_free (formatted);
  gspan_findings_finish (&findings);
  gspan_options_finish (gspan_node_options, gspan_node_option_count, &settings);
  for (size_t at = result.find (path); at != std::string::npos; at = result.find (path))
    result.replace (at, path.size (), "F");
  return result;
}

static std::string
load_fleet (const std::string &more, GspanFleetSettings *settings)
{
  std::string path = testing::TempDir () + "fleet-" + std::to_string (getpid ()) + ".toml";
  GspanFindings findings{};

  std::ofstream (path) << "[node]\nname=\"a\"\nzone=\"c\"\n[listen]\npeers=\"127.0.0.1:1\"\n"
                          "[platform]\naddress=\"127.0.0.1:3\"\n"
                       << more;
  gspan_findings_init (&findings);
  gspan_options_load (gspan_fleet_options, gspan_fleet_option_count, path.c_str (), settings,
                      &findings);
  char *formatted = gspan_findings_format (&findings);
  std::string result = formatted;
  g_free (formatted);
  gspan_findings_finish (&findings);
  return result;
}

/* Orders cost money: they are sent only where the settings say so. */
TEST (FleetSettings, ReplicasAreOrderedOnlyWhereItIsSet)
{
  for (bool set : { false, true })
    {
      GspanFleetSettings settings{};

      EXPECT_EQ (load_fleet (set ? "[duties]\nscaling = true\n" : "[duties]\n", &settings), "");
      EXPECT_EQ (settings.scaling, set);
      gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
    }
}

TEST (FleetSettings, BoundsMayBeFractions)
{
  GspanFleetSettings settings{};

  EXPECT_EQ (load_fleet ("[limits]\ngrace_s=7.5\n[lease]\nduration_ms=3000\n", &settings), "");
  EXPECT_DOUBLE_EQ (settings.grace_s, 7.5);
  EXPECT_DOUBLE_EQ (settings.lease_ms, 3000.0);
  EXPECT_DOUBLE_EQ (settings.job_kept_s, 120.0);
  gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
}

TEST (FleetSettings, WrongFractionsAreFoundWithTheirPlace)
{
  GspanFleetSettings settings{};
  std::string text = load_fleet ("[limits]\ngrace_s=0.5\n[lease]\nduration_ms=\"x\"\n", &settings);

  EXPECT_NE (text.find (":9:9: limits.grace_s: 0.5 is out of range, allowed is 1 to 3600 s"),
             std::string::npos)
      << text;
  EXPECT_NE (text.find ("lease.duration_ms: wrong type, is a string, allowed is a number"),
             std::string::npos)
      << text;
  gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
}

/* Guards deployments without the setting: -1 keeps second attempts as they are, 0 would end them.
 */
TEST (FleetSettings, ShareOfSecondAttemptsIsUnsetUnlessItIsGiven)
{
  for (auto [text, share] : { std::pair<const char *, gint64>{ "", -1 },
                              { "[hedge]\nshare_percent=0\n", 0 },
                              { "[hedge]\nshare_percent=50\n", 50 } })
    {
      GspanFleetSettings settings{};

      EXPECT_EQ (load_fleet (text, &settings), "");
      EXPECT_EQ (settings.hedge_share_percent, share);
      gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
    }
  GspanFleetSettings settings{};

  EXPECT_NE (load_fleet ("[hedge]\nshare_percent=51\n", &settings)
                 .find ("hedge.share_percent: 51 is out of range, allowed is -1 to 50 percent"),
             std::string::npos);
  gspan_options_finish (gspan_fleet_options, gspan_fleet_option_count, &settings);
}

static const char good[]
    = "[node]\nname=\"a\"\nfirm=\"b\"\nzone=\"c\"\n[listen]\nhttp=\"127.0.0.1:1\"\n"
      "rpc=\"127.0.0.1:2\"\n[platform]\naddress=\"127.0.0.1:3\"\n";

TEST (Settings, GoodFileHasNoFindings)
{
  EXPECT_EQ (load (good), "");
}

TEST (Settings, EveryFindingIsCollectedWithItsPlace)
{
  std::string text
      = std::string (good)
        + "[limits]\nbody_max=1\ndrian_ms=5\n[log]\nlevel=7\n[route]\npolicy=\"best\"\n";

  EXPECT_EQ (load (text),
             "F:11:10: limits.body_max: 1 is out of range, allowed is 1024 to 67108864 bytes\n"
             "F:12:10: limits.drian_ms: unknown setting, the nearest known one is limits.drain_ms\n"
             "F:14:7: log.level: wrong type, is an integer, allowed is a string\n"
             "F:16:8: route.policy: \"best\" is unknown, allowed is one of: affinity round-robin "
             "least-loaded\n");
}

TEST (Settings, MissingAndMalformedOnes)
{
  EXPECT_EQ (load ("[node]\nname=\"a\"\nfirm=\"b\"\nzone=\"c\"\n[listen]\nhttp=\"x\"\nrpc=\"127.0."
                   "0.1:2\"\n"),
             "F:0:0: platform.address: missing, required: the platform's object API\n"
             "F:6:6: listen.http: \"x\" is no address, allowed is \"IP:PORT\"\n");
  EXPECT_NE (load ("[node\n").find ("F:1:6: syntax: "), std::string::npos);
}

/* GOOD without the line that sets KEY, and KEY set to TEXT in its place at the end. */
static std::string
with (const std::string &key, const std::string &text)
{
  std::string file;
  std::string table = key.substr (0, key.find ('.'));
  std::string leaf = key.substr (key.find ('.') + 1);
  std::istringstream lines (good);
  std::string head = "[" + table + "]\n";
  bool set = false;

  for (std::string line; std::getline (lines, line);)
    {
      if (line.rfind (leaf + "=", 0) == 0)
        continue;
      file += line + "\n";
      if (line + "\n" == head)
        file += leaf + " = " + text + "\n";
      set = set || line + "\n" == head;
    }
  return set ? file : file + head + leaf + " = " + text + "\n";
}

static std::string
allowed_type (GspanOptionType type)
{
  return type == GSPAN_OPTION_INTEGER
             ? "an integer"
             : (type == GSPAN_OPTION_BOOLEAN ? "true or false" : "a string");
}

TEST (Settings, EveryWrongTypeOfEverySettingIsOneFindingAtItsPlace)
{
  const std::vector<std::pair<const char *, const char *>> values
      = { { "\"x\"", "a string" },
          { "12", "an integer" },
          { "true", "true or false" },
          { "1.5", "a float" },
          { "1979-05-27", "a date or time" },
          { "[1, 2]", "an array" } };

  for (size_t i = 0; i < gspan_node_option_count; i++)
    for (const auto &[text, name] : values)
      {
        const GspanOption &option = gspan_node_options[i];
        std::string allowed = allowed_type (option.type);

        if (allowed == name)
          continue;
        std::string found = load (with (option.key, text));
        EXPECT_NE (found.find (std::string (": ") + option.key + ": wrong type, is " + name
                               + ", allowed is " + allowed + "\n"),
                   std::string::npos)
            << found;
        EXPECT_EQ (std::count (found.begin (), found.end (), '\n'), 1) << found;
        EXPECT_EQ (found.find (":0:0:"), std::string::npos) << found;
      }
}

TEST (Settings, NothingIsTakenForSomethingElse)
{
  const std::string text = good;
  const std::vector<std::pair<std::string, const char *>> cases
      = { { "[node]\nname=\"a\"\nname=\"b\"\n", "F:3:6: syntax: " },
          { text + "[limits]\nzone=\"d\"\n",
            "F:11:6: limits.zone: in the wrong table, the setting is node.zone\n" },
          { "zone=\"d\"\n" + text, "F:1:6: zone: in the wrong table, the setting is node.zone\n" },
          { text + "[log.level]\n", "log.level: wrong type, is a table, allowed is a string\n" },
          { text + "[limits]\n[lgo]\n",
            "F:11:1: lgo: unknown setting, the nearest known one is log.level" },
          { "limits=5\n" + text, "F:1:8: limits: wrong type, is an integer, allowed is a table\n" },
          { "\"log.level\"=\"debug\"\n" + text,
            "F:1:1: file: a key is empty or holds a dot or a NUL\n" },
          { with ("node.name", "\"a\\u0000b\""), "node.name: holds a NUL character\n" },
          { with ("node.name", "\"a\\nb\""), "node.name: \"a\nb\" is no name" },
          { with ("listen.http", "\"127.0.0.1:65536\""), "is no address" },
          { with ("listen.http", "\"127.0.0.1:-1\""), "is no address" },
          { with ("listen.http", "\"127.0.0.1\""), "is no address" } };

  for (const auto &[file, wanted] : cases)
    EXPECT_NE (load (file).find (wanted), std::string::npos) << file << "gave\n" << load (file);
}

TEST (Settings, DefaultsOfTheTableAreAllowedValues)
{
  for (size_t i = 0; i < gspan_node_option_count; i++)
    {
      const GspanOption &option = gspan_node_options[i];
      bool text = option.type != GSPAN_OPTION_INTEGER && option.type != GSPAN_OPTION_BOOLEAN;

      if (option.fallback == nullptr || option.fallback[0] == '\0')
        continue;
      std::string value = text ? std::string ("\"") + option.fallback + "\"" : option.fallback;
      EXPECT_EQ (load (with (option.key, value)), "") << option.key;
    }
}
