#include <gtest/gtest.h>

#include <glib.h>

#include <fstream>
#include <string>

extern "C"
{
#include "settings/node.h"
}

static std::string
load (const std::string &text)
{
  std::string path = testing::TempDir () + "settings.toml";
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
             "F:14:7: log.level: wrong type, allowed is a string\n"
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
