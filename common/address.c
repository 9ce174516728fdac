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
