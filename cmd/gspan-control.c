#include "cmd/daemon.h"
#include "control/control.h"

static void
compose (struct GspanBoard *board)
{
  board->control = g_new0 (struct GspanControl, 1);
  gspan_control_init (board->control);
  board->peers = board->vms.live_nodes;
}

int
main (int argc, char **argv)
{
  static const struct GspanDaemon daemon
      = { "gspan-control", "Owns rollout pools: brings new weights to their replicas.", compose };

  return gspan_daemon_main (&daemon, argc, argv);
}
