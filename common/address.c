#include "common/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool
gspan_address_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  guint64 port = 0;
  char *ip;
  bool ok;

  memset (address, 0, sizeof *address);
  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port, NULL))
    return false;
  ip = g_strndup (text, (gsize)(colon - text));
  address->sin_family = AF_INET;
  address->sin_port = htons ((guint16)port);
  ok = inet_pton (AF_INET, ip, &address->sin_addr) == 1;
  g_free (ip);
  return ok;
}

static bool
parse_network (const char *word, struct GspanNetwork *network)
{
  char **parts = g_strsplit (word, "/", 2);
  guint64 bits = 32;
  struct in_addr ip = { 0 };
  bool ok = inet_pton (AF_INET, parts[0] != NULL ? parts[0] : "", &ip) == 1;

  if (ok && parts[1] != NULL)
    ok = g_ascii_string_to_unsigned (parts[1], 10, 0, 32, &bits, NULL);
  network->address = ntohl (ip.s_addr);
  network->mask = bits > 0 ? G_MAXUINT32 << (32 - bits) : 0;
  g_strfreev (parts);
  return ok && (network->address & ~network->mask) == 0;
}

bool
gspan_networks_parse (const char *text, GArray *networks)
{
  char **words = g_strsplit (text, " ", -1);
  bool ok = words[0] != NULL;

  for (guint i = 0; ok && words[i] != NULL; i++)
    {
      struct GspanNetwork network;

      ok = parse_network (words[i], &network);
      if (ok && networks != NULL)
        g_array_append_val (networks, network);
    }
  g_strfreev (words);
  return ok;
}

bool
gspan_networks_contain (const GArray *networks, struct in_addr address)
{
  guint32 ip = ntohl (address.s_addr);

  for (guint i = 0; i < networks->len; i++)
    {
      const struct GspanNetwork *network = &g_array_index (networks, struct GspanNetwork, i);

      if ((ip & network->mask) == network->address)
        return true;
    }
  return false;
}
