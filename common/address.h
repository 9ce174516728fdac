#pragma once

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Reads "IP:PORT" of IPv4, port 0 to 65535. False on anything else; ADDRESS is zeroed first. */
bool gspan_address_parse (const char *text, struct sockaddr_in *address);

struct GspanNetwork
{
  guint32 address; /* host byte order, bits outside of MASK are 0 */
  guint32 mask;
};

/*
 * Reads "IP/BITS IP/BITS", a plain IP standing for all 32 bits, into NETWORKS, an array of struct
 * GspanNetwork that may be NULL. False where a word is none, has bits set beyond BITS, or there is
 * no word.
 */
bool gspan_networks_parse (const char *text, GArray *networks);

/* True where ADDRESS is in one of NETWORKS. */
bool gspan_networks_contain (const GArray *networks, struct in_addr address);
