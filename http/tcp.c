#include "http/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

void
gspan_tcp_table_init (struct GspanTcpTable *table)
{
  table->sockets = g_hash_table_new (NULL, NULL);
}

void
gspan_tcp_table_finish (struct GspanTcpTable *table)
{
  g_hash_table_unref (table->sockets);
}

void
gspan_tcp_table_note (struct GspanTcpTable *table, int local_port, int fd)
{
  g_hash_table_insert (table->sockets, GINT_TO_POINTER (local_port), GINT_TO_POINTER (fd));
}

static bool
is_connection (int fd, int local_port, const char *peer_ip, int peer_port)
{
  struct sockaddr_in local = { 0 };
  struct sockaddr_in peer = { 0 };
  socklen_t local_len = sizeof local;
  socklen_t peer_len = sizeof peer;
  struct in_addr ip;

  return inet_pton (AF_INET, peer_ip, &ip) == 1
         && getsockname (fd, (struct sockaddr *)&local, &local_len) == 0
         && getpeername (fd, (struct sockaddr *)&peer, &peer_len) == 0 && peer.sin_family == AF_INET
         && ntohs (local.sin_port) == local_port && ntohs (peer.sin_port) == peer_port
         && peer.sin_addr.s_addr == ip.s_addr;
}

int
gspan_tcp_table_find (const struct GspanTcpTable *table, int local_port, const char *peer_ip,
                      int peer_port)
{
  gpointer fd;

  if (!g_hash_table_lookup_extended (table->sockets, GINT_TO_POINTER (local_port), NULL, &fd)
      || !is_connection (GPOINTER_TO_INT (fd), local_port, peer_ip, peer_port))
    return -1;
  return GPOINTER_TO_INT (fd);
}

bool
gspan_tcp_has_input (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
gspan_tcp_set_reset_on_close (int fd, bool reset)
{
  const struct linger linger = { .l_onoff = reset, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

bool
gspan_tcp_reset (int fd)
{
  const struct sockaddr nobody = { .sa_family = AF_UNSPEC };

  return connect (fd, &nobody, sizeof nobody) == 0;
}
