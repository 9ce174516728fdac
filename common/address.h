#pragma once

#include <netinet/in.h>
#include <stdbool.h>

/* Reads "IP:PORT" of IPv4, port 0 to 65535. False on anything else; ADDRESS is zeroed first. */
bool
gspan_address_parse (const char *text, struct sockaddr_in *address);
