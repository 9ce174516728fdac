#pragma once

#include <glib.h>
#include <stdbool.h>

/* IPv4 connections of this process by their own port, for a library that doesn't show its sockets.
 */
struct GspanTcpTable
{
  GHashTable *sockets; /* by local port; those that were closed are found out when looked up */
};

void gspan_tcp_table_init (struct GspanTcpTable *table);
void gspan_tcp_table_finish (struct GspanTcpTable *table);

void gspan_tcp_table_note (struct GspanTcpTable *table, int local_port, int fd);

/* Socket of the connection from LOCAL_PORT to PEER_IP and PEER_PORT; -1 where it isn't known. */
int gspan_tcp_table_find (const struct GspanTcpTable *table, int local_port, const char *peer_ip,
                          int peer_port);

/* True if bytes wait to be read from the socket FD. */
bool gspan_tcp_has_input (int fd);

/*
 * Whether the connection of the socket FD ends by a reset when it is closed, also where the process
 * is killed. Bytes that the peer hasn't acknowledged are lost then.
 */
void gspan_tcp_set_reset_on_close (int fd, bool reset);

/* Ends the connection of the socket FD, which stays open, by a reset. False where it has none. */
bool gspan_tcp_reset (int fd);
