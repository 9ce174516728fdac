#include "cmd/daemon.h"
#include "rollout/rollout.h"

static void
compose (struct GspanBoard *board)
{
  board->rollout = g_new0 (struct GspanRollout, 1);
  gspan_rollout_init (board->rollout);
  board->peers = board->vms.live_nodes;
}

int
main (int argc, char **argv)
{
  static const struct GspanDaemon daemon
      = { "gspan-rollout", "Owns trainer attachments: generates, scores and delivers samples.",
          compose };

  return gspan_daemon_main (&daemon, argc, argv);
}
